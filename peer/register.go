package peer

import (
	"context"
	"encoding/json"

	"github.com/fuchsiahill/fuchsiahill/fleet"
)

// Register registers a typed handler for method. A request that can't be decoded
// is rejected with a RemoteError of KindBadRequest.
func Register[Req, Resp any](r Registry, method string, handle func(ctx context.Context, from fleet.HostID, req Req) (Resp, error)) {
	r.Handle(method, func(ctx context.Context, from fleet.HostID, params []byte) (any, error) {
		var req Req
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, &RemoteError{Kind: KindBadRequest, Message: err.Error()}
		}
		return handle(ctx, from, req)
	})
}
