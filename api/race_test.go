package api

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fuchsiahill/fuchsiahill/settings"
	"github.com/fuchsiahill/fuchsiahill/store"
)

// racingStore is a store in which another operator's change precedes each of
// the first races writes of the tree.
type racingStore struct {
	store.Store
	path, value string
	races       int
	changesMade int
}

func (r *racingStore) CompareAndSwap(ctx context.Context, key string, expect store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	if r.changesMade < r.races {
		r.changesMade++
		c := settings.Change{ID: fmt.Sprint("race-", r.changesMade), Actor: "boris", Path: r.path, Value: []byte(r.value)}
		if _, err := settings.NewEditor(r.Store, time.Now).Apply(ctx, c); err != nil {
			return 0, err
		}
	}
	return r.Store.CompareAndSwap(ctx, key, expect, value, lease)
}

// A data centre must go out of service despite concurrent changes of other parts
// of the tree. A concurrent change of the same data centre is a conflict that
// shows the winner.
func TestSetStateWithConcurrentChanges(t *testing.T) {
	tests := []struct {
		name, path, value string
		races             int
		expect            string
		status            int
	}{
		{"other part", "values.priority", "1", 3, "", http.StatusOK},
		{"other part before every write", "values.priority", "1", 100, "", http.StatusConflict},
		{"other part, revision expected", "values.priority", "1", 1, `, "expect": 1`, http.StatusConflict},
		{"same state", "data_centres.sofia-1.state", `"in"`, 1, "", http.StatusConflict},
		{"whole data centre", "data_centres.sofia-1", `{"region": "bulgaria", "state": "in", "cells": 1}`, 1, "", http.StatusConflict},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			f.Editor = settings.NewEditor(&racingStore{Store: f.store, path: tt.path, value: tt.value, races: tt.races}, time.Now)
			w, e := f.call("PUT", "/v1/data_centres/sofia-1/state", "operator", `{"id": "a", "state": "out"`+tt.expect+`}`)
			if w.Code != tt.status {
				t.Fatalf("answered %d %s", w.Code, w.Body)
			}
			if w.Code == http.StatusConflict && (e.Winner == nil || e.Winner.Actor != "boris" || e.Winner.Path != tt.path) {
				t.Errorf("winner %+v", e.Winner)
			}
			entry, err := f.store.Get(t.Context(), settings.TreeKey)
			if err != nil || strings.Contains(string(entry.Value), `"state":"out"`) != (tt.status == http.StatusOK) {
				t.Errorf("%s, %v", entry.Value, err)
			}
		})
	}
}

func TestPathsOverlap(t *testing.T) {
	for _, tt := range []struct {
		a, b string
		want bool
	}{
		{"data_centres.a.state", "data_centres.a.state", true},
		{"data_centres.a", "data_centres.a.state", true},
		{"data_centres.a.state", "data_centres", true},
		{"data_centres.a.state", "data_centres.ab.state", false},
		{"data_centres.a", "data_centres.ab", false},
		{"values.priority", "data_centres.a.state", false},
	} {
		if got := settings.PathsOverlap(tt.a, tt.b); got != tt.want {
			t.Errorf("PathsOverlap(%q, %q) = %t", tt.a, tt.b, got)
		}
	}
}
