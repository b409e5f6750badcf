package wal

import _ "github.com/fuchsiahill/fuchsiahill/internal/fixedseed"
