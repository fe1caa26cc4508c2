package engine

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/jujubescale/jujubescale/internal/stand/slots"
)

// generateRequest is the body of POST /v1/generate.
type generateRequest struct {
	ID        string          `json:"id"`
	Model     string          `json:"model"`
	Input     json.RawMessage `json:"input"`
	Previous  json.RawMessage `json:"previous"`
	Priority  int             `json:"priority"`
	MaxTokens int             `json:"maxTokens"`
	From      int             `json:"from"`
}

// tokenLine is one line of an answer.
type tokenLine struct {
	Index int    `json:"index"`
	Token string `json:"token"`
}

// doneLine is the last line of an answer. An answer without it is incomplete.
type doneLine struct {
	Done         bool  `json:"done"`
	Tokens       int   `json:"tokens"`
	EngineMs     int64 `json:"engineMs"`
	CachedTokens int   `json:"cachedTokens"`
}

// stream is the output of one generate request. It continues after its reader
// disconnects, so that a reader can resume it, until it ends or is cancelled.
type stream struct {
	cancel context.CancelFunc

	mu      sync.Mutex
	tokens  []string
	changed chan struct{}
	ended   error
	done    doneLine
}

// errNotFound means that the engine has no such stream to resume, or that the
// requested model is not loaded.
var errNotFound = errors.New("no such stream or model")

// errComplete marks a stream that generated all of its tokens.
var errComplete = errors.New("whole")

func newStream(cancel context.CancelFunc) *stream {
	return &stream{cancel: cancel, changed: make(chan struct{})}
}

// update applies a change and notifies the readers.
func (s *stream) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

// snapshot is the state of a stream at one instant, as a reader needs it.
type snapshot struct {
	tokens  []string
	ended   error
	changed <-chan struct{}
}

// snapshotFrom returns the state of the stream, with the tokens from an index on.
func (s *stream) snapshotFrom(from int) snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := snapshot{ended: s.ended, changed: s.changed}
	if from < len(s.tokens) {
		state.tokens = s.tokens[from:]
	}
	return state
}

// maxBody is the maximum size of a request body, in bytes.
const maxBody = 4 << 20

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var request generateRequest
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&request)
	if err != nil || request.ID == "" || request.From < 0 {
		http.Error(w, "body is not a generate request", http.StatusBadRequest)
		return
	}
	s, err := e.findOrStart(&request)
	if errors.Is(err, errNotFound) {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	if err != nil {
		slots.Refuse(w, err)
		return
	}
	s.copyTo(w, r, request.From, e.Frontend.ShouldTruncate())
}

// findOrStart returns the stream with the requested id, or starts it. If the
// stream to resume no longer exists, the result is errNotFound (404), because
// starting it from the beginning would repeat work.
func (e *Engine) findOrStart(request *generateRequest) (*stream, error) {
	e.start.Lock()
	defer e.start.Unlock()
	if s := e.find(request.ID); s != nil {
		return s, nil
	}
	if request.From > 0 || !e.hasModel(request.Model) {
		return nil, errNotFound
	}
	run, err := e.Slots.Begin(request.ID, request.Priority)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := newStream(cancel)
	e.mu.Lock()
	e.streams[request.ID] = s
	e.mu.Unlock()
	go e.generate(ctx, s, run, request)
	return s, nil
}

func (e *Engine) find(id string) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[id]
}

// hasModel reports whether a model, given as name or name@version, is loaded.
// An engine without a list of models serves every model.
func (e *Engine) hasModel(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if model == "" || len(e.models) == 0 && len(e.settings.models) == 0 {
		return true
	}
	if e.models[model] {
		return true
	}
	for loaded := range e.models {
		if name, _, _ := strings.Cut(loaded, "@"); name == model {
			return true
		}
	}
	return false
}

// generate produces the tokens of a stream, and stores the result in the
// stream.
func (e *Engine) generate(ctx context.Context, s *stream, run *slots.Run, request *generateRequest) {
	defer s.cancel()
	input := slots.ParseInput(request.Input)
	count := firstPositive(request.MaxTokens, input.Tokens, scale(e.settings.tokens, input.Size))
	prefill, cachedTokens := e.settings.prefill, 0
	if e.cache.lookupOrAdd(input.Prefix) {
		prefill, cachedTokens = e.settings.cachedPrefill, len(input.Prefix)
	}
	err := run.Work(ctx, prefill)
	for i := 0; i < count && err == nil; i++ {
		if err = run.Work(ctx, e.settings.perToken); err == nil {
			s.update(func() { s.tokens = append(s.tokens, tokenText(i, count, input.Echo)) })
		}
	}
	spent := run.Spent()
	run.End(err == nil)
	if err == nil {
		err = errComplete
	}
	s.update(func() {
		s.ended = err
		s.done = doneLine{Done: true, Tokens: count, EngineMs: spent.Milliseconds(), CachedTokens: cachedTokens}
	})
	time.AfterFunc(e.settings.resumeFor, func() { e.forget(request.ID, s) })
}

func (e *Engine) forget(id string, s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[id] == s {
		delete(e.streams, id)
	}
}

func scale(tokens int, size float64) int {
	if size <= 0 {
		return tokens
	}
	return int(math.Round(float64(tokens) * size))
}

func firstPositive(values ...int) int {
	for _, value := range values {
		if value > 0 {
			return value
		}
	}
	return 1
}

// tokenText returns the text of a token. The first token contains the caller's
// echo mark and the last one the count, which makes mixed-up and truncated
// answers detectable.
func tokenText(index, count int, echo string) string {
	text := "w" + strconv.Itoa(index) + " "
	if index == 0 {
		text = "echo=" + echo + " "
	}
	if index == count-1 {
		text += "end=" + strconv.Itoa(count)
	}
	return text
}

// copyTo writes the tokens from an index on, until the stream ends or the
// reader disconnects. If truncate is true, it aborts the connection after the first
// tokens.
func (s *stream) copyTo(w http.ResponseWriter, r *http.Request, from int, truncate bool) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	flush := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	next := from
	for {
		state := s.snapshotFrom(next)
		for _, token := range state.tokens {
			if encoder.Encode(tokenLine{Index: next, Token: token}) != nil {
				return
			}
			next++
		}
		if state.ended != nil {
			s.finish(encoder, state.ended)
			return
		}
		if flush.Flush() != nil {
			return
		}
		if truncate && next > from {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-state.changed:
		case <-r.Context().Done():
			return
		}
	}
}

// finish writes the last line of a complete stream, or aborts the connection
// if the stream ended early.
func (s *stream) finish(encoder *json.Encoder, ended error) {
	if !errors.Is(ended, errComplete) {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	done := s.done
	s.mu.Unlock()
	if encoder.Encode(done) != nil {
		return // the client disconnected and can resume
	}
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "*")
	s := e.find(id)
	if s == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.cancel()
	w.WriteHeader(http.StatusOK)
}
