package commander

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"brasschute/internal/role/gateway"
	"brasschute/platform"
)

// askTimeout bounds the call of a command that a person waits for.
const askTimeout = 3 * time.Second

// checkSettings checks a settings file of the hosting platform.
func (k *Commander) checkSettings(context.Context) error {
	d, err := platform.ReadDeployment(k.file)
	if err != nil {
		return refused(err.Error())
	}
	fmt.Fprintf(k.c.Output, "%s: valid, for host %s in %s\n", k.file, d.Host, d.AvailabilityZone)
	return nil
}

// beliefs prints what a gateway believes.
func (k *Commander) beliefs(ctx context.Context) error {
	return k.askGateway(ctx, http.MethodGet, gateway.ViewPath, http.StatusOK)
}

// lift clears a request at a gateway, which tells the others.
func (k *Commander) lift(ctx context.Context) error {
	if err := k.askGateway(ctx, http.MethodDelete, gateway.QuarantinePath+url.PathEscape(k.fingerprint), http.StatusNoContent); err != nil {
		return err
	}
	fmt.Fprintf(k.c.Output, "%s is free again\n", k.fingerprint)
	return nil
}

// askGateway calls a gateway at its metrics' address and prints what it answers.
func (k *Commander) askGateway(ctx context.Context, method, path string, expected int) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+k.address+path, http.NoBody)
	if err != nil {
		return usage(fmt.Sprintf("ADDRESS %q: IP:port is needed", k.address))
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != expected {
		return fmt.Errorf("gateway: %s answered %s", k.address, resp.Status)
	}
	if _, err := io.Copy(k.c.Output, resp.Body); err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	return nil
}
