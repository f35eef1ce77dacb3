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
	// numberLinePrefix starts the first line that 'config get' prints, before the number.
	numberLinePrefix = "# brasschute configuration "
)

func (k *Commander) client() rpc.Operator { return printer.Client(k.address, k.key) }

// print prints a message as JSON, or calls f to print it as text.
func (k *Commander) print(m proto.Message, f func(*printer.Printer)) error {
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
		return usageError(fmt.Sprintf("--output: found %q; allowed: text, json", k.output))
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
	return k.print(s, func(p *printer.Printer) { p.Status(s) })
}

func (k *Commander) explain(ctx context.Context) error {
	reply, err := k.client().ExplainRequestID(ctx, &rpc.ExplainRequest{Request: k.request})
	if err != nil {
		return err
	}
	if !reply.Found {
		return fmt.Errorf("no reachable daemon has a record of request %q", k.request)
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
	return k.print(reply, func(p *printer.Printer) { p.Audit(reply) })
}

func (k *Commander) drain(ctx context.Context) error {
	reply, err := k.client().Drain(ctx, &rpc.DrainRequest{})
	if err != nil {
		return err
	}
	return k.print(reply, func(*printer.Printer) { fmt.Fprintln(k.c.Output, "the daemon stops; it was", reply.State) })
}

func (k *Commander) validate(context.Context) error {
	source, err := os.ReadFile(k.file)
	if err != nil {
		return fmt.Errorf("config: %w", err)
	}
	if _, err := compiler.Compile(k.file, source); err != nil {
		return refusedError(err.Error())
	}
	fmt.Fprintln(k.c.Output, k.file, "is valid")
	return nil
}

func (k *Commander) apply(ctx context.Context) error {
	source, err := os.ReadFile(k.file)
	if err != nil {
		return fmt.Errorf("config: %w", err)
	}
	from, body, err := k.parseBaseNumber(string(source))
	if err != nil {
		return err
	}
	a, err := k.client().Apply(ctx, &rpc.Draft{File: k.file, Source: body, From: from})
	if err != nil {
		return err
	}
	if err := k.print(a, func(p *printer.Printer) { p.Applied(a) }); err != nil {
		return err
	}
	if n := len(a.Behind) + len(a.Unreachable); n > 0 {
		return partialError(fmt.Sprintf("accepted, but not confirmed in force at %d daemons", n))
	}
	return nil
}

// parseBaseNumber returns the number of the configuration that a draft is based on, and the draft
// without the first line that 'config get' adds. The number comes from --from or that line.
func (k *Commander) parseBaseNumber(source string) (from uint64, body string, err error) {
	first, rest, _ := strings.Cut(source, "\n")
	number, marked := strings.CutPrefix(first, numberLinePrefix)
	if marked {
		source = rest
	}
	if k.baseNumber != baseNumberUnset {
		return uint64(max(k.baseNumber, 0)), source, nil
	}
	from, err = strconv.ParseUint(strings.TrimSpace(number), 10, 64)
	if !marked || err != nil {
		return 0, "", usageError("the number of the configuration that the draft is based on is missing: pass --from N, or keep the first line of 'config get'")
	}
	return from, source, nil
}

func (k *Commander) get(ctx context.Context) error {
	c, err := k.client().Get(ctx, &rpc.ConfigurationRequest{})
	if err != nil {
		return err
	}
	return k.print(c, func(*printer.Printer) {
		fmt.Fprintf(k.c.Output, "%s%d\n%s", numberLinePrefix, c.Number, c.Source)
	})
}

func (k *Commander) history(ctx context.Context) error {
	h, err := k.client().History(ctx, &rpc.HistoryRequest{Limit: uint32(max(k.limit, 0))})
	if err != nil {
		return err
	}
	return k.print(h, func(p *printer.Printer) { p.History(h) })
}
