// Package parser turns a caller's HTTP request into a checked call.
//
// The cheap checks come first: the key, repeated headers, and the stated length of the
// body. Only then is the body read, within limits of bytes and of time (package bodyreader),
// so that an unknown or slow sender costs next to nothing. A problem found here means that nothing
// was sent to any endpoint.
//
// # Usage
//
//	p := parser.New(parser.Config{MaxBody: 1 << 20, Bodies: bodies, Decoding: limiter})
//	c, problem := p.Parse(w, r, plan, number)
//	defer c.Release()
package parser

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"regexp"
	"strings"
	"time"

	"brasschute/internal/config/compiler"
	"brasschute/internal/config/document"
	"brasschute/internal/core/identifier"
	"brasschute/internal/engine/prefix"
	"brasschute/internal/serve/bodyreader"
	"brasschute/internal/serve/bufferlimiter"
	"brasschute/internal/serve/call"
	"brasschute/internal/serve/refusal"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// The paths for callers.
const (
	ChatPath        = "/v1/chat/completions"
	CompletionsPath = "/v1/completions"
	ServicesPrefix  = "/services/"
)

const (
	defaultMaxTokens = 16
	maxTokens        = 1 << 17
	maxKeyBytes      = 255
	instanceBytes    = 5
	digestBytes      = 16
	bearer           = "Bearer "
	roleAssistant    = "assistant"
	roleUser         = "user"
	// fullRetryAfter is sent when bodies take all of their memory: another daemon may have room.
	fullRetryAfter = time.Second
	// decodedFactor is the memory of a decoded body as a multiple of its length: an empty message has two characters.
	decodedFactor = 32
)

// Config holds the limits of a Parser.
type Config struct {
	// MaxBody is the largest body, in bytes.
	MaxBody int64
	// Bodies reads bodies and bounds the memory that they take.
	Bodies *bodyreader.Reader
	// Decoding bounds the memory of the bodies that are being decoded.
	Decoding *bufferlimiter.Limiter
}

// Parser parses requests. It has no state and is safe for concurrent use.
type Parser struct {
	c Config
}

// New returns a parser.
func New(c Config) *Parser { return &Parser{c} }

// singleValued lists the headers that must not be repeated: given two values, two
// processes might each use a different one.
var singleValued = []string{
	"Authorization", "Content-Type", "Idempotency-Key", "Request-Id", "Request-Timeout", "Traceparent", "Last-Event-Id",
}

var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// RequestID returns the id of a request, from its header or else a new one. It never fails,
// so that every refusal has an id.
func RequestID(r *http.Request) identifier.Request {
	id := r.Header.Get("Request-Id")
	if requestIDPattern.MatchString(id) {
		return identifier.Request(id)
	}
	return identifier.Request(uuid.NewString())
}

// Parse reads and checks one request. The returned call is never nil and has an id even if
// there is a problem. Its Release must be called at the end of the request. A problem is to be sent by
// bodyreader.Reader.Refuse, as the body may not have been read.
func (p *Parser) Parse(w http.ResponseWriter, r *http.Request, plan *compiler.Plan, number identifier.ConfigurationNumber) (*call.Call, *refusal.Problem) {
	c := &call.Call{
		Request: RequestID(r), Received: time.Now(), Release: func() {}, Plan: plan, ConfigurationNumber: number, Rule: compiler.NoRule,
		Traceparent: r.Header.Get("Traceparent"), LastEventID: r.Header.Get("Last-Event-ID"),
	}
	c.Instance = c.Request + "~" + randomSuffix()
	if problem := checkHeaders(r); problem != nil {
		return c, problem
	}
	o, problem := Authenticate(r, plan)
	if problem != nil {
		return c, problem
	}
	c.Organisation = o
	c.Priority = o.Priority
	if strings.HasPrefix(r.URL.EscapedPath(), ServicesPrefix) {
		return c, p.parsePlain(w, r, c)
	}
	return c, p.parseModel(w, r, c)
}

func randomSuffix() identifier.Request {
	b := make([]byte, instanceBytes)
	_, _ = rand.Read(b)
	return identifier.Request(hex.EncodeToString(b))
}

func checkHeaders(r *http.Request) *refusal.Problem {
	for _, name := range singleValued {
		if len(r.Header.Values(name)) > 1 {
			return refusal.New(refusal.BadRequest, "header "+name+" stands more than once; allowed: once")
		}
	}
	if id := r.Header.Get("Request-Id"); id != "" && !requestIDPattern.MatchString(id) {
		return refusal.New(refusal.BadRequest, "Request-Id: allowed are 1 to 64 letters, digits, '.', '_' and '-'")
	}
	if len(r.Header.Get("Idempotency-Key")) > maxKeyBytes {
		return refusal.New(refusal.BadRequest, fmt.Sprintf("Idempotency-Key: allowed are %d bytes", maxKeyBytes))
	}
	return nil
}

// Authenticate returns the organisation of a request's bearer key.
func Authenticate(r *http.Request, plan *compiler.Plan) (*document.Organisation, *refusal.Problem) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
	if !ok || key == "" {
		return nil, refusal.New(refusal.Unauthenticated, "Authorization: allowed is 'Bearer' with an organisation's key")
	}
	sum := sha256.Sum256([]byte(key))
	o, ok := plan.Organisation(hex.EncodeToString(sum[:]))
	if !ok {
		return nil, refusal.New(refusal.Unauthenticated, "the key belongs to no organisation")
	}
	return o, nil
}

func (p *Parser) parsePlain(w http.ResponseWriter, r *http.Request, c *call.Call) *refusal.Problem {
	// The path is passed on as the caller encoded it: decoded, %2F would be a slash and %3F begin the query.
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), ServicesPrefix), "/")
	if problem := resolveService(c, identifier.Service(name), document.KindPlain); problem != nil {
		return problem
	}
	c.Method = r.Method
	c.Path = "/" + rest
	if r.URL.RawQuery != "" {
		c.Path += "?" + r.URL.RawQuery
	}
	c.Header = r.Header
	if problem := p.readBody(w, r, c); problem != nil {
		return problem
	}
	return applyOptions(r, c)
}

// input is the part of a model request that the daemon itself uses. The name of the type must stay:
// it is part of the error text that a caller gets for a member of the wrong type.
type input struct {
	Model     string          `json:"model"`
	Messages  []message       `json:"messages"`
	Prompt    string          `json:"prompt"`
	Stream    bool            `json:"stream"`
	MaxTokens json.RawMessage `json:"max_tokens"`
	N         *int            `json:"n"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type part struct {
	Text string `json:"text"`
}

// text returns a message's text, given as a string or as a list of parts.
func (m *message) text() (string, error) {
	var s string
	if err := json.Unmarshal(m.Content, &s); err == nil {
		return s, nil
	}
	var parts []part
	if err := json.Unmarshal(m.Content, &parts); err != nil {
		return "", fmt.Errorf("messages: content: allowed is text or a list of text parts")
	}
	var b strings.Builder
	for i := range parts {
		b.WriteString(parts[i].Text)
	}
	return b.String(), nil
}

func (p *Parser) parseModel(w http.ResponseWriter, r *http.Request, c *call.Call) *refusal.Problem {
	if r.Method != http.MethodPost {
		return refusal.New(refusal.MethodRefused, "allowed: POST")
	}
	c.Completions = r.URL.Path == CompletionsPath
	if problem := p.readBody(w, r, c); problem != nil {
		return problem
	}
	if problem := p.decode(r.Context(), c); problem != nil {
		return problem
	}
	return applyOptions(r, c)
}

// decode decodes the body of a model request, beside no more others than there is memory for.
func (p *Parser) decode(ctx context.Context, c *call.Call) *refusal.Problem {
	release, err := p.c.Decoding.Reserve(ctx, decodedFactor*int64(len(c.Body)))
	if err != nil {
		return refusal.New(refusal.Full, err.Error()).WithRetryAfter(fullRetryAfter)
	}
	defer release()
	var in input
	if err := json.Unmarshal(c.Body, &in); err != nil {
		return refusal.New(refusal.BadRequest, "body: "+err.Error())
	}
	if problem := resolveService(c, identifier.Service(in.Model), document.KindModel); problem != nil {
		return problem
	}
	if err := applyInput(c, &in); err != nil {
		return refusal.New(refusal.BadRequest, err.Error())
	}
	return nil
}

// applyInput checks the input and sets the fields of the call.
func applyInput(c *call.Call, in *input) error {
	c.Streaming = in.Stream
	if c.Completions == (in.Prompt == "") {
		return fmt.Errorf("body: allowed is 'messages' for %s, 'prompt' for %s", ChatPath, CompletionsPath)
	}
	if in.N != nil && *in.N != 1 {
		return fmt.Errorf("n: found %d; allowed: 1", *in.N)
	}
	if !c.Completions && len(in.Messages) == 0 {
		return errors.New("messages: found none; allowed: one or more")
	}
	var prompt strings.Builder
	prompt.WriteString(in.Prompt)
	for i := range in.Messages {
		text, err := in.Messages[i].text()
		if err != nil {
			return err
		}
		if in.Messages[i].Role == roleAssistant {
			// An engine has answered the text before this message, so it has processed that text.
			c.PriorTokens = prefix.Tokens(prompt.Len())
		}
		if c.Conversation == 0 && in.Messages[i].Role == roleUser {
			// The text before the first question is a preamble that many
			// conversations share.
			c.Conversation = xxhash.Sum64String(string(c.Organisation.Name) + text)
		}
		prompt.WriteString(text)
	}
	c.Prompt = prompt.String()
	c.PromptTokens = prefix.Tokens(len(c.Prompt))
	c.Blocks = prefix.Blocks(nil, c.Prompt)
	return applyMaxTokens(c, in.MaxTokens)
}

func applyMaxTokens(c *call.Call, raw json.RawMessage) error {
	c.MaxTokens = defaultMaxTokens
	if len(raw) == 0 || string(raw) == "null" {
		return nil
	}
	var n int
	if err := json.Unmarshal(raw, &n); err != nil || n < 1 || n > maxTokens {
		return fmt.Errorf("max_tokens: found %s; allowed: 1 to %d", raw, maxTokens)
	}
	c.MaxTokens = identifier.Tokens(n)
	return nil
}

func resolveService(c *call.Call, name identifier.Service, kind document.Kind) *refusal.Problem {
	s, ok := c.Plan.Service(name)
	if !ok || s.Kind != kind {
		return refusal.New(refusal.UnknownService, fmt.Sprintf("there is no %s service %q", kind, name))
	}
	c.Service = s
	return nil
}

// readBody reads the body of a call, whose Release gives its memory back.
func (p *Parser) readBody(w http.ResponseWriter, r *http.Request, c *call.Call) *refusal.Problem {
	body, release, err := p.c.Bodies.Read(w, r, p.c.MaxBody)
	switch {
	case err == nil:
		c.Body, c.Release = body, release
		return nil
	case errors.Is(err, bodyreader.ErrTooLong):
		return refusal.New(refusal.TooLarge, fmt.Sprintf("the body is too large; allowed: %d bytes", p.c.MaxBody))
	case errors.Is(err, bodyreader.ErrNoRoom):
		return refusal.New(refusal.Full, err.Error()).WithRetryAfter(fullRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, bodyreader.ErrStalled):
		return refusal.New(refusal.TooSlow, err.Error())
	}
	return refusal.New(refusal.BadRequest, "the body was cut")
}

// applyOptions sets the fields that depend on caller and service together. If they differ on
// idempotence, the stricter one wins.
func applyOptions(r *http.Request, c *call.Call) *refusal.Problem {
	c.IdempotencyKey = r.Header.Get("Idempotency-Key")
	safe := r.Method == http.MethodGet || r.Method == http.MethodHead
	c.NonIdempotent = c.IdempotencyKey != "" || !c.Service.Idempotent && !safe && c.Service.Kind == document.KindPlain
	if c.NonIdempotent && c.IdempotencyKey == "" && c.Service.RequireKey {
		return refusal.New(refusal.KeyRequired, "this service needs an Idempotency-Key")
	}
	c.Timeout = c.Service.Timeout.Std()
	if text := r.Header.Get("Request-Timeout"); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d <= 0 {
			return refusal.New(refusal.BadRequest, fmt.Sprintf("Request-Timeout: found %q; allowed: a duration with its unit, as 800ms or 30s", text))
		}
		c.Timeout = min(c.Timeout, d)
	}
	h := sha256.New()
	fmt.Fprintf(h, "%s %s\n", r.Method, r.URL.RequestURI())
	_, _ = h.Write(c.Body)
	c.Digest = hex.EncodeToString(h.Sum(nil)[:digestBytes])
	return nil
}

// SavedRequest is the state of an interrupted model request, as another daemon stored it.
type SavedRequest struct {
	Request      identifier.Request
	Instance     identifier.Request
	Organisation *document.Organisation
	Body         []byte
	Completions  bool
}

// Restore parses a saved model request again, for the daemon that continues it.
func (p *Parser) Restore(k *SavedRequest, plan *compiler.Plan, number identifier.ConfigurationNumber) (*call.Call, *refusal.Problem) {
	c := &call.Call{
		Request: k.Request, Instance: k.Instance, Received: time.Now(), Plan: plan, ConfigurationNumber: number,
		Rule: compiler.NoRule, Organisation: k.Organisation, Completions: k.Completions, Body: k.Body,
	}
	var in input
	if err := json.Unmarshal(k.Body, &in); err != nil {
		return c, refusal.New(refusal.BadRequest, "body: "+err.Error())
	}
	if problem := resolveService(c, identifier.Service(in.Model), document.KindModel); problem != nil {
		return c, problem
	}
	if err := applyInput(c, &in); err != nil {
		return c, refusal.New(refusal.BadRequest, err.Error())
	}
	c.Timeout = c.Service.Timeout.Std()
	return c, nil
}
