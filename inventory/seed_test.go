package inventory_test

import _ "github.com/fuchsiahill/fuchsiahill/internal/fixedseed"
