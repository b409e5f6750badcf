package scheduler

import _ "github.com/fuchsiahill/fuchsiahill/internal/fixedseed"
