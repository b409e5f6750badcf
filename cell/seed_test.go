package cell

import _ "github.com/fuchsiahill/fuchsiahill/internal/fixedseed"
