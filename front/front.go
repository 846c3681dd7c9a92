// Package front serves the HTTP interfaces apart from the callers' traffic: the
// calls for jobs, of backend servers and of workers at the entry's address, and the
// operators' calls at the operators' address.
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

// leaderCallTimeout limits a call that needs an answer from the leader.
const leaderCallTimeout = 8 * time.Second

// heartbeatTimeout limits a heartbeat. It is short because the worker sends the next
// heartbeat soon.
const heartbeatTimeout = 2 * time.Second

// writeProblem aborts the request with the problem document p.
func writeProblem(c *gin.Context, p api.Problem) {
	c.Header("Content-Type", api.ProblemType)
	c.AbortWithStatusJSON(p.Status, p)
}

// writeError aborts the request with a problem document for err.
func writeError(c *gin.Context, status int, err error) {
	writeProblem(c, api.NewProblem(status, err.Error()))
}

// writeUnavailable aborts a request whose outcome couldn't be learned. The caller
// should repeat it after a second.
func writeUnavailable(c *gin.Context, err error) {
	c.Header("Retry-After", "1")
	writeError(c, http.StatusServiceUnavailable, err)
}

// decodeBody decodes the request body into v. It aborts the request and returns
// false if the body is malformed.
func decodeBody(c *gin.Context, v any) bool {
	if err := api.Decode(c.Request.Body, v); err != nil {
		writeError(c, http.StatusBadRequest, err)
		return false
	}
	return true
}

// requireKey aborts requests that don't carry key as a bearer token. An empty key
// admits every request.
func requireKey(key string) gin.HandlerFunc {
	return func(c *gin.Context) {
		token, _ := strings.CutPrefix(c.GetHeader("Authorization"), "Bearer ")
		if key != "" && subtle.ConstantTimeCompare([]byte(token), []byte(key)) != 1 {
			c.Header("WWW-Authenticate", "Bearer")
			writeProblem(c, api.NewProblem(http.StatusUnauthorized, "the key is missing or wrong"))
		}
	}
}

// newRouter returns a router that answers a wrong method with a problem document.
func newRouter() *gin.Engine {
	gin.SetMode(gin.ReleaseMode)
	r := gin.New()
	r.HandleMethodNotAllowed = true
	r.NoMethod(func(c *gin.Context) {
		writeProblem(c, api.NewProblem(http.StatusMethodNotAllowed, "the method "+c.Request.Method+" is not allowed on this path"))
	})
	return r
}

// CallerHandler returns the handler for the entry's address. Paths below /v1/ belong to
// the system; all other requests go to traffic. Backend servers and workers must
// present agentKey.
func CallerHandler(e *engine.Engine, agentKey string, traffic http.Handler) http.Handler {
	r := newRouter()
	agents := r.Group("/v1", requireKey(agentKey))
	agents.POST("/announce", func(c *gin.Context) { announce(c, e) })
	agents.POST("/workers/:name/heartbeat", func(c *gin.Context) { heartbeat(c, e) })
	r.POST("/v1/jobs", func(c *gin.Context) { submitJob(c, e) })
	r.GET("/v1/jobs", func(c *gin.Context) { listJobs(c, e) })
	r.GET("/v1/jobs/:id", func(c *gin.Context) { showJob(c, e) })
	r.POST("/v1/cancel", func(c *gin.Context) { cancelJobs(c, e) })
	r.NoRoute(func(c *gin.Context) {
		writeProblem(c, api.NewProblem(http.StatusNotFound, "the system has no such path below /v1/"))
	})
	// Traffic bypasses gin, because the paths in the table routes may contain any
	// characters.
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if strings.HasPrefix(req.URL.Path, "/v1/") {
			r.ServeHTTP(w, req)
			return
		}
		traffic.ServeHTTP(w, req)
	})
}

// announce handles the announcement of a backend server.
func announce(c *gin.Context, e *engine.Engine) {
	var doc api.BackendServer
	if !decodeBody(c, &doc) {
		return
	}
	b, err := doc.Value()
	if err != nil {
		writeError(c, http.StatusUnprocessableEntity, err)
		return
	}
	e.AnnounceServer(b)
	c.Status(http.StatusNoContent)
}

// heartbeat handles a worker's heartbeat and replies with its lease and orders.
func heartbeat(c *gin.Context, e *engine.Engine) {
	var doc api.Heartbeat
	if !decodeBody(c, &doc) {
		return
	}
	h, err := doc.Value(c.Param("name"))
	if err != nil {
		writeError(c, http.StatusUnprocessableEntity, err)
		return
	}
	ctx, cancel := context.WithTimeout(c.Request.Context(), heartbeatTimeout)
	defer cancel()
	reply, err := e.Heartbeat(ctx, h)
	if err == nil && !reply.Known {
		err = errors.New("no leader is known; the lease isn't renewed and keeps its end")
	}
	if err != nil {
		writeUnavailable(c, err)
		return
	}
	c.JSON(http.StatusOK, api.HeartbeatReplyFrom(reply))
}

// submit has a command committed and returns its result. It aborts the request and
// returns false if the outcome couldn't be learned.
func submit(c *gin.Context, e *engine.Engine, cmd notch.Command) (notch.Result, bool) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), leaderCallTimeout)
	defer cancel()
	r, err := e.Submit(ctx, cmd)
	if err != nil {
		writeUnavailable(c, err)
		return nil, false
	}
	return r, true
}

// query returns the leader's answer to q. It aborts the request and returns false
// if no answer arrived.
func query(c *gin.Context, e *engine.Engine, q notch.Query) (notch.QueryResult, bool) {
	ctx, cancel := context.WithTimeout(c.Request.Context(), leaderCallTimeout)
	defer cancel()
	result, err := e.Query(ctx, q)
	if err != nil {
		writeUnavailable(c, err)
		return result, false
	}
	return result, true
}

// submitJob handles the submission of a batch job.
func submitJob(c *gin.Context, e *engine.Engine) {
	var doc api.Job
	if !decodeBody(c, &doc) {
		return
	}
	job, err := doc.Value()
	if err != nil {
		writeError(c, http.StatusUnprocessableEntity, err)
		return
	}
	r, ok := submit(c, e, notch.SubmitJob{Job: job})
	if !ok {
		return
	}
	if jr, ok := r.(notch.JobResult); ok && jr.Reason != "" {
		writeProblem(c, api.NewProblem(http.StatusUnprocessableEntity, jr.Reason))
		return
	}
	c.JSON(http.StatusAccepted, gin.H{"id": job.ID})
}

// listJobs lists the batch jobs without their tasks.
func listJobs(c *gin.Context, e *engine.Engine) {
	v, ok := query(c, e, notch.Query{Kind: notch.QueryJobs})
	if !ok {
		return
	}
	docs := []api.JobStatus{}
	for _, rec := range v.Jobs {
		docs = append(docs, api.JobStatusFrom(rec))
	}
	c.JSON(http.StatusOK, docs)
}

// showJob returns one batch job with its tasks.
func showJob(c *gin.Context, e *engine.Engine) {
	v, ok := query(c, e, notch.Query{Kind: notch.QueryJob, Name: c.Param("id")})
	if !ok {
		return
	}
	if len(v.Jobs) == 0 {
		writeProblem(c, api.NewProblem(http.StatusNotFound, "there is no job of this id"))
		return
	}
	doc := api.JobStatusFrom(v.Jobs[0])
	doc.WaitReason = v.Waits
	for _, t := range v.Tasks {
		doc.Tasks = append(doc.Tasks, api.TaskFrom(t))
	}
	c.JSON(http.StatusOK, doc)
}

// maxCancelJobs limits the number of jobs in one cancellation.
const maxCancelJobs = 10_000

// cancelJobs cancels the batch jobs that the body lists.
func cancelJobs(c *gin.Context, e *engine.Engine) {
	var doc api.CancelRequest
	if !decodeBody(c, &doc) {
		return
	}
	if len(doc.Jobs) == 0 || len(doc.Jobs) > maxCancelJobs {
		writeError(c, http.StatusUnprocessableEntity, errors.Errorf("jobs must list 1 to %d ids", maxCancelJobs))
		return
	}
	if _, ok := submit(c, e, notch.CancelJobs{Jobs: doc.Jobs}); ok {
		c.JSON(http.StatusAccepted, doc)
	}
}
