package dispatch

import _ "github.com/fuchsiahill/fuchsiahill/internal/fixedseed"
