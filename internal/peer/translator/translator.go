// Package translator translates between package scheduler's types and messages between daemons.
//
// # Usage
//
//	message := translator.EncodeRequest(&request)
//	request, err := translator.DecodeRequest(message, host)
package translator

import (
	"errors"
	"time"

	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/prefix"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/route/scheduler"
)

// maxBlocks bounds the shared parts of a prompt that a message may name: prompts have a few.
const maxBlocks = 256

// MaxStates bounds the requests of one report: four times what a daemon's host serves at once.
const MaxStates = 4096

// ErrInvalid means that a message can't be translated.
var ErrInvalid = errors.New("translator: invalid message")

// EncodeRequest returns the message for a request.
func EncodeRequest(r *scheduler.Request) *rpc.ScheduledRequest {
	out := &rpc.ScheduledRequest{
		Id: string(r.ID), Rank: uint32(max(r.Rank, 0)), Organisation: string(r.Organisation), Weight: r.Weight, Fingerprint: string(r.Fingerprint),
		PromptTokens: uint32(max(r.PromptTokens, 0)), OutputTokens: uint32(max(r.OutputTokens, 0)),
		ObjectiveLeftMilli: r.ObjectiveLeft.Milliseconds(), SilenceLeftMilli: r.SilenceLeft.Milliseconds(), TimeLeftMilli: r.TimeLeft.Milliseconds(),
		SurvivedRejections: r.SurvivedRejections, Unsized: r.Unsized,
	}
	if len(r.Blocks) > maxBlocks || len(r.Blocks) != len(r.Sizes) {
		return out
	}
	for i, b := range r.Blocks {
		out.Blocks = append(out.Blocks, uint64(b))
		out.Sizes = append(out.Sizes, uint32(r.Sizes[i]))
	}
	return out
}

// DecodeRequest returns the request that a daemon sent.
func DecodeRequest(m *rpc.ScheduledRequest, from identifier.Host) (scheduler.Request, error) {
	if m.GetId() == "" || from == "" || len(m.GetBlocks()) != len(m.GetSizes()) || len(m.GetBlocks()) > maxBlocks {
		return scheduler.Request{}, ErrInvalid
	}
	out := scheduler.Request{
		ID: identifier.Request(m.GetId()), Daemon: from, Rank: int(m.GetRank()), Organisation: identifier.Organisation(m.GetOrganisation()),
		Weight: m.GetWeight(), Fingerprint: identifier.Fingerprint(m.GetFingerprint()),
		Unsized:      m.GetUnsized(),
		PromptTokens: identifier.Tokens(m.GetPromptTokens()), OutputTokens: identifier.Tokens(m.GetOutputTokens()),
		ObjectiveLeft: milliseconds(m.GetObjectiveLeftMilli()), SilenceLeft: milliseconds(m.GetSilenceLeftMilli()), TimeLeft: milliseconds(m.GetTimeLeftMilli()),
	}
	if !(out.Weight > 0) {
		out.Weight = 1
	}
	if n := m.GetSurvivedRejections(); n > 0 {
		out.SurvivedRejections = n
	}
	for i, b := range m.GetBlocks() {
		out.Blocks = append(out.Blocks, prefix.Block(b))
		out.Sizes = append(out.Sizes, identifier.Tokens(m.GetSizes()[i]))
	}
	return out, nil
}

// EncodeOffer returns the message for an offer.
func EncodeOffer(o *scheduler.Offer, complete bool) *rpc.Offer {
	return &rpc.Offer{
		Decision: uint32(o.Decision), StartMicro: o.StartIn.Microseconds(), FirstEventMicro: o.FirstEventIn.Microseconds(),
		Cached: uint32(max(o.Cached, 0)), TokensAhead: o.TokensAhead, Streams: uint32(max(o.Streams, 0)),
		AskAgainMilli: o.AskAgain.Milliseconds(), RetryAfterMilli: o.RetryAfter.Milliseconds(), Scarce: o.Scarce, Reason: o.Reason, Complete: complete,
		SurvivedRejections: o.SurvivedRejections,
	}
}

// DecodeOffer returns the offer of a coordinator. It fails if the coordinator does not list the
// endpoint, or answers with a decision that this version does not know.
func DecodeOffer(m *rpc.Offer) (o scheduler.Offer, complete bool, err error) {
	if m == nil || m.GetUnknown() || m.GetDecision() > uint32(scheduler.Refuse) || !(m.GetTokensAhead() >= 0) {
		return scheduler.Offer{}, false, ErrInvalid
	}
	return scheduler.Offer{
		Decision: scheduler.Decision(m.GetDecision()), StartIn: time.Duration(m.GetStartMicro()) * time.Microsecond,
		FirstEventIn: time.Duration(m.GetFirstEventMicro()) * time.Microsecond, Cached: identifier.Tokens(m.GetCached()),
		TokensAhead: m.GetTokensAhead(), Streams: int(m.GetStreams()), AskAgain: milliseconds(m.GetAskAgainMilli()),
		RetryAfter: milliseconds(m.GetRetryAfterMilli()), Scarce: m.GetScarce(), Reason: m.GetReason(),
		SurvivedRejections: max(m.GetSurvivedRejections(), 0),
	}, m.GetComplete(), nil
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
