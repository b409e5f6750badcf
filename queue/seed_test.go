package queue

import _ "github.com/fuchsiahill/fuchsiahill/internal/fixedseed"
