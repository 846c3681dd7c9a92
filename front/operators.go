package front

import (
	"net/http"

	"github.com/gin-gonic/gin"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	notch "tamaracknotch"
	"tamaracknotch/api"
	"tamaracknotch/engine"
)

// Health tells whether the balancer should send callers here.
type Health interface {
	// Ready returns nil, or the reason why not.
	Ready() error
}

// Operators returns the handler of the operators' address.
func Operators(e *engine.Engine, key string, health Health, registry metrics.Registry) http.Handler {
	r := newRouter()
	r.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	r.GET("/readyz", func(c *gin.Context) { ready(c, health) })
	v1 := r.Group("/v1", withKey(key))
	v1.GET("/tables/:table", func(c *gin.Context) { getTable(c, e) })
	v1.PUT("/tables/:table", func(c *gin.Context) { putTable(c, e) })
	v1.GET("/entries", func(c *gin.Context) { listEntries(c, e) })
	v1.GET("/workers", func(c *gin.Context) { listWorkers(c, e) })
	v1.GET("/state", func(c *gin.Context) { c.JSON(http.StatusOK, e.Dump()) })
	v1.GET("/metrics", func(c *gin.Context) {
		c.Header("Content-Type", "application/json")
		metrics.WriteJSONOnce(registry, c.Writer)
	})
	r.NoRoute(func(c *gin.Context) {
		problem(c, api.NewProblem(http.StatusNotFound, "the operators' interface has no such path"))
	})
	return r
}

func ready(c *gin.Context, h Health) {
	if err := h.Ready(); err != nil {
		problem(c, api.NewProblem(http.StatusServiceUnavailable, err.Error()))
		return
	}
	c.String(http.StatusOK, "ready\n")
}

// tableName returns the table of the path, or ends the call.
func tableName(c *gin.Context) (notch.TableName, bool) {
	name := notch.TableName(c.Param("table"))
	if name != notch.RoutesTable && name != notch.PoolsTable {
		problem(c, api.NewProblem(http.StatusNotFound, "there is no such table; there are routes and pools"))
		return "", false
	}
	return name, true
}

func getTable(c *gin.Context, e *engine.Engine) {
	name, ok := tableName(c)
	if !ok {
		return
	}
	r, ok := submit(c, e, notch.Barrier{})
	if !ok {
		return
	}
	tables, ok := r.(notch.TablesResult)
	if !ok {
		fail(c, http.StatusInternalServerError, errors.Errorf("unexpected answer %T", r))
		return
	}
	c.JSON(http.StatusOK, api.TableFrom(name, tables.Tables))
}

// maxEditID bounds the id of an edit and the name of its author, in bytes.
const maxEditID = 128

func putTable(c *gin.Context, e *engine.Engine) {
	name, ok := tableName(c)
	if !ok {
		return
	}
	var doc api.Edit
	if !decode(c, &doc) {
		return
	}
	cmd, fields := editOf(name, doc)
	if len(fields) > 0 {
		p := api.NewProblem(http.StatusUnprocessableEntity, "the edit breaks rules; nothing was changed")
		p.Fields = api.FieldsFrom(fields)
		problem(c, p)
		return
	}
	r, ok := submit(c, e, cmd)
	if !ok {
		return
	}
	edit, ok := r.(notch.EditResult)
	if !ok {
		fail(c, http.StatusInternalServerError, errors.Errorf("unexpected answer %T", r))
		return
	}
	answerEdit(c, edit)
}

func editOf(name notch.TableName, doc api.Edit) (notch.EditTable, []notch.FieldError) {
	var errs []notch.FieldError
	bad := func(field, reason string) { errs = append(errs, notch.FieldError{Field: field, Reason: reason}) }
	if doc.ID == "" || len(doc.ID) > maxEditID {
		bad("id", "must have 1 to 128 bytes")
	}
	if len(doc.By) > maxEditID {
		bad("by", "must have at most 128 bytes")
	}
	if name == notch.RoutesTable && len(doc.Pools) > 0 {
		bad("pools", "doesn't belong to the table routes")
	}
	if name == notch.PoolsTable && len(doc.Routes) > 0 {
		bad("routes", "doesn't belong to the table pools")
	}
	routes, more := api.RoutesOf(doc.Routes)
	return notch.EditTable{
		ID: doc.ID, Table: name, Base: doc.Base, Routes: routes, Pools: api.PoolsOf(doc.Pools), By: doc.By,
	}, append(errs, more...)
}

func answerEdit(c *gin.Context, r notch.EditResult) {
	doc := api.EditResultFrom(r)
	switch r.Outcome {
	case notch.EditAccepted:
		c.JSON(http.StatusOK, doc)
	case notch.EditConflict:
		p := api.NewProblem(http.StatusConflict, "the table has another version; nothing was changed")
		p.Edit = &doc
		problem(c, p)
	default:
		p := api.NewProblem(http.StatusUnprocessableEntity, "the edit breaks rules; nothing was changed")
		p.Fields = doc.Fields
		problem(c, p)
	}
}

func listEntries(c *gin.Context, e *engine.Engine) {
	v, ok := ask(c, e, notch.Question{Kind: notch.AskEntries})
	if !ok {
		return
	}
	doc := api.Entries{Revision: v.Revision, Complete: v.Complete, Entries: []api.Entry{}}
	for _, x := range v.Entries {
		doc.Entries = append(doc.Entries, api.Entry{Name: x.Name, Revision: x.Revision, LeaseSeconds: x.Lease.Seconds()})
	}
	c.JSON(http.StatusOK, doc)
}

func listWorkers(c *gin.Context, e *engine.Engine) {
	v, ok := ask(c, e, notch.Question{Kind: notch.AskWorkers})
	if !ok {
		return
	}
	docs := []api.WorkerStatus{}
	for _, w := range v.Workers {
		docs = append(docs, api.WorkerStatusFrom(w))
	}
	c.JSON(http.StatusOK, docs)
}
