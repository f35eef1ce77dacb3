// Package rpc holds the generated clients, servers and messages of the calls between the
// system's processes.
//
// All calls pass through package signer, which authenticates both sides.
//
// To change a message or a call, edit peer.proto and run go generate in this folder. The
// generator and its plugins are pinned in tools/go.mod. CI checks that the generated files are
// up to date.
//
// # Usage
//
//	peer := rpc.NewPeerProtobufClient("http://127.0.0.1:7000", client)
//	reply, err := peer.Exchange(ctx, &rpc.News{})
package rpc

//go:generate sh generate.sh
