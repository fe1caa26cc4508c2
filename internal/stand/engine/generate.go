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

// doneLine ends an answer; without it the answer is not whole.
type doneLine struct {
	Done         bool  `json:"done"`
	Tokens       int   `json:"tokens"`
	EngineMs     int64 `json:"engineMs"`
	CachedTokens int   `json:"cachedTokens"`
}

// stream is one run of the engine. It goes on when its reader is gone, until
// it is cancelled, so that a reader can resume it.
type stream struct {
	cancel context.CancelFunc

	mu      sync.Mutex
	tokens  []string
	changed chan struct{}
	ended   error
	done    doneLine
}

// errNotKnown says that the engine has no such stream to resume, or not the
// model.
var errNotKnown = errors.New("no such stream or model")

// errWhole marks a stream that ended as it should.
var errWhole = errors.New("whole")

func newStream(cancel context.CancelFunc) *stream {
	return &stream{cancel: cancel, changed: make(chan struct{})}
}

func (s *stream) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

// progress is what a reader sees of a stream at one instant.
type progress struct {
	tokens  []string
	ended   error
	changed <-chan struct{}
}

func (s *stream) progress(from int) progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := progress{ended: s.ended, changed: s.changed}
	if from < len(s.tokens) {
		seen.tokens = s.tokens[from:]
	}
	return seen
}

// maxBody bounds a request body.
const maxBody = 4 << 20

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var request generateRequest
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&request)
	if err != nil || request.ID == "" || request.From < 0 {
		http.Error(w, "body is not a generate request", http.StatusBadRequest)
		return
	}
	s, err := e.findOrStart(&request)
	if errors.Is(err, errNotKnown) {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	if err != nil {
		slots.Refuse(w, err)
		return
	}
	s.copyTo(w, r, request.From, e.Frontend.ShouldTruncate())
}

// findOrStart returns the known stream of that id, or starts one. A resumed
// stream that the engine no longer knows is 404: running it again from the
// middle would double work.
func (e *Engine) findOrStart(request *generateRequest) (*stream, error) {
	e.start.Lock()
	defer e.start.Unlock()
	if s := e.known(request.ID); s != nil {
		return s, nil
	}
	if request.From > 0 || !e.hasModel(request.Model) {
		return nil, errNotKnown
	}
	run, err := e.Slots.Begin(request.ID, request.Priority)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := newStream(cancel)
	e.mu.Lock()
	e.runs[request.ID] = s
	e.mu.Unlock()
	go e.generate(ctx, s, run, request)
	return s, nil
}

func (e *Engine) known(id string) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// hasModel takes a model by name, or as name@version. An engine without a
// list of models takes any.
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

// generate produces the tokens; its end shows in the stream.
func (e *Engine) generate(ctx context.Context, s *stream, run *slots.Run, request *generateRequest) {
	defer s.cancel()
	input := slots.ParseInput(request.Input)
	count := firstPositive(request.MaxTokens, input.Tokens, scale(e.settings.tokens, input.Size))
	prompt, cachedTokens := e.settings.prefill, 0
	if e.cache.use(input.Prefix) {
		prompt, cachedTokens = e.settings.cached, len(input.Prefix)
	}
	err := run.Work(ctx, prompt)
	for i := 0; i < count && err == nil; i++ {
		if err = run.Work(ctx, e.settings.perToken); err == nil {
			s.update(func() { s.tokens = append(s.tokens, tokenText(i, count, input.Echo)) })
		}
	}
	spent := run.Spent()
	run.End(err == nil)
	if err == nil {
		err = errWhole
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
	if e.runs[id] == s {
		delete(e.runs, id)
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

// tokenText makes the first token name the caller's echo mark and the last one
// the count, so that crossed and cut answers show.
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

// copyTo writes the stream from a token on, until its end or the reader's. A
// cut one breaks off after its first tokens.
func (s *stream) copyTo(w http.ResponseWriter, r *http.Request, from int, cut bool) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	flush := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	next := from
	for {
		seen := s.progress(next)
		for _, token := range seen.tokens {
			if encoder.Encode(tokenLine{Index: next, Token: token}) != nil {
				return
			}
			next++
		}
		if seen.ended != nil {
			s.finish(encoder, seen.ended)
			return
		}
		if flush.Flush() != nil {
			return
		}
		if cut && next > from {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-seen.changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (s *stream) finish(encoder *json.Encoder, ended error) {
	if !errors.Is(ended, errWhole) {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	done := s.done
	s.mu.Unlock()
	if encoder.Encode(done) != nil {
		return // the reader has gone; it can resume
	}
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "*")
	s := e.known(id)
	if s == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.cancel()
	w.WriteHeader(http.StatusOK)
}
