package place

import "jacinthcross/internal/base/ident"

// sizeSmoothing is the weight of a new answer in the average size of its route.
const sizeSmoothing = 0.1

// Sizes holds the average number of bytes of the requests and answers of each route, as measured at the daemon where the
// calls enter.
type Sizes map[ident.Route]int

// Add records the bytes of a request and its answer.
func (c Sizes) Add(r ident.Route, size int) {
	if old, ok := c[r]; ok {
		size = old + int(sizeSmoothing*float64(size-old))
	}
	c[r] = size
}
