// Package rpc holds the generated calls between the system's own processes.
//
// # Usage
//
// Edit peer.proto, then run go generate in this folder. The generator and its
// plugins are pinned in tools/go.mod; CI checks that generating again changes
// nothing.
//
//	peer := rpc.NewPeerProtobufClient("http://127.0.0.1:7000", client)
//	news, err := peer.Exchange(ctx, &rpc.News{})
//
// All calls pass through package signer, which authenticates both sides.
package rpc

//go:generate sh generate.sh
