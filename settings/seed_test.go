package settings

import _ "github.com/fuchsiahill/fuchsiahill/internal/fixedseed"
