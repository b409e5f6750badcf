package standin_test

import (
	"net/http/httptest"
	"testing"

	"github.com/fuchsiahill/fuchsiahill/internal/standin"
	"github.com/fuchsiahill/fuchsiahill/store"
	"github.com/fuchsiahill/fuchsiahill/store/storetest"
)

func TestStoreContract(t *testing.T) {
	unlimited := store.Budget{ReadsPerSecond: 1e6, WritesPerSecond: 1e6, Burst: 1000}
	overHTTP := func(t *testing.T) store.Store {
		server := httptest.NewServer(standin.NewStoreServer(standin.NewStore()))
		t.Cleanup(server.CloseClientConnections)
		return store.NewHTTP(server.URL, 0)
	}
	tests := map[string]func(t *testing.T) store.Store{
		"in process": func(*testing.T) store.Store { return standin.NewStore() },
		"HTTP":       overHTTP,
		"metered":    func(t *testing.T) store.Store { return store.NewMetered(overHTTP(t), unlimited) },
	}
	for name, open := range tests {
		t.Run(name, func(t *testing.T) { storetest.Run(t, open) })
	}
}
