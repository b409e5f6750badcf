package deflate

import _ "github.com/fuchsiahill/fuchsiahill/internal/fixedseed"
