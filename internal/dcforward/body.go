package dcforward

import (
	"errors"
	"io"
	"net/http"
)

const (
	// maxResponseBytes is the maximum size of a response body, which is held in
	// memory.
	maxResponseBytes = 16 << 20
	// defaultMaxHeldBytes applies when Client.MaxHeldBytes is not set.
	defaultMaxHeldBytes = 64 << 20
	// uncountedBodyBytes is the part of each body that does not count towards
	// Client.MaxHeldBytes.
	uncountedBodyBytes = 64 << 10
	// firstBodyBytes is the size of the first buffer for a body of unknown length.
	firstBodyBytes = 4 << 10
)

var (
	errResponseTooLarge = errors.New("response body exceeds the size limit")
	errTooManyHeldBytes = errors.New("response bodies that are being read exceed the memory for them")
)

// readBody reads the body of a response to its end, up to maxResponseBytes. It
// returns nil for a response to a HEAD request. A body that is not read to its
// end closes its connection when the caller closes the body.
func (c *Client) readBody(response *http.Response) (body []byte, err error) {
	if response.Request.Method == http.MethodHead {
		return nil, nil
	}
	reserved := reservation{client: c}
	defer reserved.release()
	if response.ContentLength >= 0 {
		return readSizedBody(response.Body, response.ContentLength, &reserved)
	}
	for {
		if len(body) == cap(body) {
			// One byte more than the limit shows that a body exceeds it.
			grown := min(max(2*cap(body), firstBodyBytes), maxResponseBytes+1)
			if err := reserved.grow(int64(grown)); err != nil {
				return nil, err
			}
			body = append(make([]byte, 0, grown), body...)
		}
		count, err := response.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		switch {
		case len(body) > maxResponseBytes:
			return nil, errResponseTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// readSizedBody reads a body of known length.
func readSizedBody(reader io.Reader, length int64, reserved *reservation) ([]byte, error) {
	if length > maxResponseBytes {
		return nil, errResponseTooLarge
	}
	if err := reserved.grow(length); err != nil {
		return nil, err
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(reader, body); err != nil {
		return nil, err
	}
	// Reads up to EOF, so that the connection can be reused.
	if _, err := reader.Read(make([]byte, 1)); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return body, nil
}

// reservation is the part of Client.MaxHeldBytes that one body takes while it is
// read.
type reservation struct {
	client *Client
	bytes  int64
}

// grow reserves the bytes for a body of the given size, or fails if all bodies
// together would exceed the limit.
func (r *reservation) grow(size int64) error {
	more := max(size-uncountedBodyBytes, 0) - r.bytes
	if more <= 0 {
		return nil
	}
	limit := r.client.MaxHeldBytes
	if limit == 0 {
		limit = defaultMaxHeldBytes
	}
	if r.client.held.Add(more) > limit {
		r.client.held.Add(-more)
		return errTooManyHeldBytes
	}
	r.bytes += more
	return nil
}

func (r *reservation) release() { r.client.held.Add(-r.bytes) }
