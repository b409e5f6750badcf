package journal

import _ "github.com/fuchsiahill/fuchsiahill/internal/fixedseed"
