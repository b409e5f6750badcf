package peer

import _ "github.com/fuchsiahill/fuchsiahill/internal/fixedseed"
