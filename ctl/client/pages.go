package client

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/rotisserie/eris"
	"github.com/zeromicro/go-zero/rest/httpc"

	"cardamomwick.example/core/api"
)

// ReadUsage calls handle, in order, for each usage window recorded after the given one. It
// reads them from the metrics address of an instance that has a replica. It returns the
// number of runs that were reported too late to be counted.
func ReadUsage(ctx context.Context, address string, after int64, handle func(api.UsageRecord) error) (late uint64, err error) {
	for {
		var page api.UsagePage
		if err := readPage(ctx, address, fmt.Sprintf("%s?%s=%d", api.PathUsage, api.QueryAfter, after), &page); err != nil {
			return 0, err
		}
		for _, r := range page.Records {
			if err := handle(r); err != nil {
				return 0, err
			}
			after = r.Window
		}
		if !page.More {
			return page.Late, nil
		}
	}
}

// ReadDuties reads the holders of the duties from the metrics address of an instance that
// has a replica.
func ReadDuties(ctx context.Context, address string) (api.DutiesPage, error) {
	var page api.DutiesPage
	err := readPage(ctx, address, api.PathDuties, &page)
	return page, err
}

// ReadLimits reads the request limits of servers as an instance knows them from the
// instance's metrics address.
func ReadLimits(ctx context.Context, address string) (api.LimitsPage, error) {
	var page api.LimitsPage
	err := readPage(ctx, address, api.PathLimits, &page)
	return page, err
}

func readPage(ctx context.Context, address, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return eris.Wrapf(err, "build request to %s", address)
	}
	resp, err := httpc.DoRequest(req)
	if err != nil {
		return eris.Wrapf(ErrUnreachable, "%s: %v", address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK || resp.Header.Get("Content-Type") != "application/json" {
		return eris.Wrapf(ErrRefused, "%s does not serve %s; use the metrics address of an instance that does", address, path)
	}
	return eris.Wrapf(json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(out), "read %s of %s", path, address)
}
