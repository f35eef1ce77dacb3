package commander

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"

	"brasschute/internal/config/compiler"
	"brasschute/internal/ops/printer"
	"brasschute/internal/peer/rpc"
	"brasschute/internal/serve/recorder"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

const (
	newKeyBytes = 32
	// numberLine heads a configuration that 'config get' printed.
	numberLine = "# brasschute configuration "
)

func (k *Commander) client() rpc.Operator { return printer.Client(k.address, k.key) }

// show prints a message as JSON or, by f, for people.
func (k *Commander) show(m proto.Message, f func(*printer.Printer)) error {
	switch k.output {
	case "json":
		text, err := protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true}.Marshal(m)
		if err != nil {
			return fmt.Errorf("output: %w", err)
		}
		fmt.Fprintln(k.c.Output, string(text))
	case "text":
		f(printer.New(k.c.Output))
	default:
		return usage(fmt.Sprintf("--output: found %q; allowed: text, json", k.output))
	}
	return nil
}

func (k *Commander) newKey(context.Context) error {
	raw := make([]byte, newKeyBytes)
	_, _ = rand.Read(raw)
	key := hex.EncodeToString(raw)
	fmt.Fprintf(k.c.Output, "Key:  %s\nHash: %s\n", key, printer.Hash(key))
	return nil
}

func (k *Commander) status(ctx context.Context) error {
	s, err := k.client().Status(ctx, &rpc.StatusRequest{})
	if err != nil {
		return err
	}
	return k.show(s, func(e *printer.Printer) { e.Status(s) })
}

func (k *Commander) explain(ctx context.Context) error {
	reply, err := k.client().ExplainRequestID(ctx, &rpc.ExplainRequest{Request: k.request})
	if err != nil {
		return err
	}
	if !reply.Found {
		return fmt.Errorf("no daemon that can be reached remembers request %q", k.request)
	}
	if k.output == "json" {
		fmt.Fprintln(k.c.Output, reply.RecordJson)
		return nil
	}
	var rec recorder.Record
	if err := json.Unmarshal([]byte(reply.RecordJson), &rec); err != nil {
		return fmt.Errorf("explain: %w", err)
	}
	printer.New(k.c.Output).Explain(&rec)
	return nil
}

func (k *Commander) audit(ctx context.Context) error {
	reply, err := k.client().Audit(ctx, &rpc.AuditRequest{Limit: uint32(max(k.limit, 0)), Host: k.host})
	if err != nil {
		return err
	}
	return k.show(reply, func(e *printer.Printer) { e.Audit(reply) })
}

func (k *Commander) drain(ctx context.Context) error {
	reply, err := k.client().Drain(ctx, &rpc.DrainRequest{})
	if err != nil {
		return err
	}
	return k.show(reply, func(*printer.Printer) { fmt.Fprintln(k.c.Output, "the daemon stops; it was", reply.State) })
}

func (k *Commander) validate(context.Context) error {
	source, err := os.ReadFile(k.file)
	if err != nil {
		return fmt.Errorf("config: %w", err)
	}
	if _, err := compiler.Compile(k.file, source); err != nil {
		return refused(err.Error())
	}
	fmt.Fprintln(k.c.Output, k.file, "is valid")
	return nil
}

func (k *Commander) apply(ctx context.Context) error {
	source, err := os.ReadFile(k.file)
	if err != nil {
		return fmt.Errorf("config: %w", err)
	}
	from, body, err := k.origin(string(source))
	if err != nil {
		return err
	}
	a, err := k.client().Apply(ctx, &rpc.Draft{File: k.file, Source: body, From: from})
	if err != nil {
		return err
	}
	if err := k.show(a, func(e *printer.Printer) { e.Applied(a) }); err != nil {
		return err
	}
	if n := len(a.Behind) + len(a.Unreachable); n > 0 {
		return partial(fmt.Sprintf("accepted, but not confirmed in force at %d daemons", n))
	}
	return nil
}

// origin finds the number that a draft was made from: as given, or from the
// line that 'config get' puts first, which is not part of the configuration.
func (k *Commander) origin(source string) (from uint64, body string, err error) {
	first, rest, _ := strings.Cut(source, "\n")
	number, marked := strings.CutPrefix(first, numberLine)
	if marked {
		source = rest
	}
	if k.from != noFrom {
		return uint64(max(k.from, 0)), source, nil
	}
	from, err = strconv.ParseUint(strings.TrimSpace(number), 10, 64)
	if !marked || err != nil {
		return 0, "", usage("state the number that the draft was made from: --from N, or keep the first line of 'config get'")
	}
	return from, source, nil
}

func (k *Commander) get(ctx context.Context) error {
	c, err := k.client().Get(ctx, &rpc.ConfigurationRequest{})
	if err != nil {
		return err
	}
	return k.show(c, func(*printer.Printer) {
		fmt.Fprintf(k.c.Output, "%s%d\n%s", numberLine, c.Number, c.Source)
	})
}

func (k *Commander) history(ctx context.Context) error {
	h, err := k.client().History(ctx, &rpc.HistoryRequest{Limit: uint32(max(k.limit, 0))})
	if err != nil {
		return err
	}
	return k.show(h, func(e *printer.Printer) { e.History(h) })
}
