package dcstandin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dandelioncart/dandelioncart/internal/dcid"
)

// SearchResponse is the JSON body of the response to a search. It names
// what the response was read from, so that a test can check a merged response.
type SearchResponse struct {
	Service dcid.ServiceName  `json:"service"`
	Shard   dcid.ShardID      `json:"shard"`
	Version dcid.IndexVersion `json:"index-version"`
	Epoch   dcid.MapEpoch     `json:"map-epoch"`
	Request string            `json:"request-id"`
	// Query is the QueryDigest of the request body.
	Query string `json:"query"`
}

// QueryDigest returns the digest by which a SearchResponse identifies the query
// that it answers.
func QueryDigest(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}

func (u *Upstream) searchBody(request *request) []byte {
	body, _ := json.Marshal(SearchResponse{
		Service: u.config.Service,
		Shard:   request.shard,
		Version: request.version,
		Epoch:   request.epoch,
		Request: request.id,
		Query:   QueryDigest(request.body),
	})
	return body
}

// answer sends a response with the given body, the labels of the request and the
// state of the server, changed or delayed by the switches that answerFaults
// returns.
func (u *Upstream) answer(w http.ResponseWriter, request *request, body []byte) {
	faults := u.answerFaults()
	u.sleep(context.Background(), request.stopped, faults.LateBy, nil)
	header := responseHeader(request)
	header.Set(HeaderServerState, u.currentState())
	if faults.WrongLabel != "" {
		header.Set(faults.WrongLabel, corruptLabel(header.Get(faults.WrongLabel)))
	}
	switch {
	case faults.Malformed:
		writeRaw(w, func(out io.Writer) { _, _ = io.WriteString(out, "\x00garbage\r\n\r\n") })
	case faults.Duplicate:
		writeRaw(w, func(out io.Writer) {
			writeResponse(out, header, body)
			writeResponse(out, header, body)
		})
	default:
		for name, values := range header {
			w.Header()[name] = values
		}
		_, _ = w.Write(body)
	}
}

// responseHeader returns the header of a response: the labels of the request,
// and the times that it waited and ran.
func responseHeader(request *request) http.Header {
	header := http.Header{}
	header.Set(HeaderRequestID, request.id)
	header.Set(HeaderAttempt, request.attempt)
	if request.shard != "" {
		header.Set(HeaderShard, string(request.shard))
		header.Set(HeaderIndexVersion, string(request.version))
		header.Set(HeaderMapEpoch, strconv.FormatUint(uint64(request.epoch), 10))
	}
	if request.key != "" {
		header.Set(HeaderIdempotencyKey, string(request.key))
	}
	header.Set(HeaderServerTiming, fmt.Sprintf("queue;dur=%.3f, run;dur=%.3f",
		milliseconds(request.queueTime), milliseconds(request.runTime)))
	header.Set("Content-Type", "application/json")
	return header
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

// corruptLabel returns another label of the same form, so that only a
// comparison with the request detects it.
func corruptLabel(label string) string {
	if number, err := strconv.Atoi(label); err == nil {
		return strconv.Itoa(number + 1)
	}
	return strings.TrimSpace(label + "x")
}

// writeRaw calls write with the underlying connection, and then closes it.
func writeRaw(w http.ResponseWriter, write func(io.Writer)) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	out := bufio.NewWriter(buffer)
	write(out)
	_ = out.Flush()
	_ = buffer.Flush()
}

func writeResponse(out io.Writer, header http.Header, body []byte) {
	response := &http.Response{
		StatusCode:    http.StatusOK,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        header,
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
	}
	_ = response.Write(out)
}
