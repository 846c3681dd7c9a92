// Package front serves the HTTP interfaces besides the callers' traffic: jobs,
// backend servers and workers on the entry's address, operators on their own.
package front

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/pkg/errors"

	notch "tamaracknotch"
	"tamaracknotch/api"
	"tamaracknotch/engine"
)

// patience bounds a call that waits for the leader.
const patience = 8 * time.Second

// beatPatience bounds a heartbeat, whose worker calls again soon.
const beatPatience = 2 * time.Second

// problem ends a call with a problem document.
func problem(c *gin.Context, p api.Problem) {
	c.Header("Content-Type", api.ProblemType)
	c.AbortWithStatusJSON(p.Status, p)
}

func fail(c *gin.Context, status int, err error) {
	problem(c, api.NewProblem(status, err.Error()))
}

// unreachable ends a call whose outcome couldn't be learned.
func unreachable(c *gin.Context, err error) {
	c.Header("Retry-After", "1")
	fail(c, http.StatusServiceUnavailable, err)
}

// decode reads the body into v, or ends the call.
func decode(c *gin.Context, v any) bool {
	if err := api.Decode(c.Request.Body, v); err != nil {
		fail(c, http.StatusBadRequest, err)
		return false
	}
	return true
}

// withKey asks for a bearer token, unless key is empty.
func withKey(key string) gin.HandlerFunc {
	return func(c *gin.Context) {
		token, _ := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
		if key != "" && subtle.ConstantTimeCompare([]byte(token), []byte(key)) != 1 {
			c.Header("WWW-Authenticate", "Bearer")
			problem(c, api.NewProblem(http.StatusUnauthorized, "the key is missing or wrong"))
		}
	}
}

func newRouter() *gin.Engine {
	gin.SetMode(gin.ReleaseMode)
	r := gin.New()
	r.HandleMethodNotAllowed = true
	r.NoMethod(func(c *gin.Context) {
		problem(c, api.NewProblem(http.StatusMethodNotAllowed, c.Request.Method+" is not served here"))
	})
	return r
}

// Callers returns the handler of the entry's address: the paths below /v1 are
// the system's, all others go to traffic. The agent key guards what backend
// servers and workers call.
func Callers(e *engine.Engine, agentKey string, traffic http.Handler) http.Handler {
	r := newRouter()
	agents := r.Group("/v1", withKey(agentKey))
	agents.POST("/announce", func(c *gin.Context) { announce(c, e) })
	agents.POST("/workers/:name/heartbeat", func(c *gin.Context) { heartbeat(c, e) })
	r.POST("/v1/jobs", func(c *gin.Context) { submitJob(c, e) })
	r.GET("/v1/jobs", func(c *gin.Context) { listJobs(c, e) })
	r.GET("/v1/jobs/:id", func(c *gin.Context) { showJob(c, e) })
	r.POST("/v1/cancel", func(c *gin.Context) { cancelJobs(c, e) })
	r.NoRoute(func(c *gin.Context) {
		problem(c, api.NewProblem(http.StatusNotFound, "the system has no such path"))
	})
	// Traffic goes round gin: its paths are those of the routes table, whatever
	// characters they hold.
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if strings.HasPrefix(req.URL.Path, "/v1/") {
			r.ServeHTTP(w, req)
			return
		}
		traffic.ServeHTTP(w, req)
	})
}

func announce(c *gin.Context, e *engine.Engine) {
	var doc api.BackendServer
	if !decode(c, &doc) {
		return
	}
	b, err := doc.Value()
	if err != nil {
		fail(c, http.StatusUnprocessableEntity, err)
		return
	}
	e.Announce(b)
	c.Status(http.StatusNoContent)
}

func heartbeat(c *gin.Context, e *engine.Engine) {
	var doc api.Heartbeat
	if !decode(c, &doc) {
		return
	}
	h, err := doc.Value(c.Param("name"))
	if err != nil {
		fail(c, http.StatusUnprocessableEntity, err)
		return
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), beatPatience)
	defer cancel()
	reply, err := e.Beat(ctx, h)
	if err == nil && !reply.Known {
		err = errors.New("no leader is known; the lease goes on as granted before")
	}
	if err != nil {
		unreachable(c, err)
		return
	}
	c.JSON(http.StatusOK, api.HeartbeatReplyFrom(reply))
}

// submit has a command committed, or ends the call.
func submit(c *gin.Context, e *engine.Engine, cmd notch.Command) (notch.Result, bool) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), patience)
	defer cancel()
	r, err := e.Submit(ctx, cmd)
	if err != nil {
		unreachable(c, err)
		return nil, false
	}
	return r, true
}

// ask has the leader answer a question, or ends the call.
func ask(c *gin.Context, e *engine.Engine, q notch.Question) (notch.View, bool) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), patience)
	defer cancel()
	v, err := e.Ask(ctx, q)
	if err != nil {
		unreachable(c, err)
		return v, false
	}
	return v, true
}

func submitJob(c *gin.Context, e *engine.Engine) {
	var doc api.Job
	if !decode(c, &doc) {
		return
	}
	job, err := doc.Value()
	if err != nil {
		fail(c, http.StatusUnprocessableEntity, err)
		return
	}
	r, ok := submit(c, e, notch.SubmitJob{Job: job})
	if !ok {
		return
	}
	if jr, ok := r.(notch.JobResult); ok && jr.Reason != "" {
		problem(c, api.NewProblem(http.StatusUnprocessableEntity, jr.Reason))
		return
	}
	c.JSON(http.StatusAccepted, gin.H{"id": job.ID})
}

func listJobs(c *gin.Context, e *engine.Engine) {
	v, ok := ask(c, e, notch.Question{Kind: notch.AskJobs})
	if !ok {
		return
	}
	docs := []api.JobStatus{}
	for _, rec := range v.Jobs {
		docs = append(docs, api.JobStatusFrom(rec))
	}
	c.JSON(http.StatusOK, docs)
}

func showJob(c *gin.Context, e *engine.Engine) {
	v, ok := ask(c, e, notch.Question{Kind: notch.AskJob, Name: c.Param("id")})
	if !ok {
		return
	}
	if len(v.Jobs) == 0 {
		problem(c, api.NewProblem(http.StatusNotFound, "there is no job of this id"))
		return
	}
	doc := api.JobStatusFrom(v.Jobs[0])
	doc.Waits = v.Waits
	for _, t := range v.Tasks {
		doc.Tasks = append(doc.Tasks, api.TaskFrom(t))
	}
	c.JSON(http.StatusOK, doc)
}

// maxCancel bounds the jobs of one cancellation.
const maxCancel = 10_000

func cancelJobs(c *gin.Context, e *engine.Engine) {
	var doc api.Cancel
	if !decode(c, &doc) {
		return
	}
	if len(doc.Jobs) == 0 || len(doc.Jobs) > maxCancel {
		fail(c, http.StatusUnprocessableEntity, errors.Errorf("jobs must list 1 to %d ids", maxCancel))
		return
	}
	if _, ok := submit(c, e, notch.CancelJobs{Jobs: doc.Jobs}); ok {
		c.JSON(http.StatusAccepted, doc)
	}
}
