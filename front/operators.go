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

// ReadinessChecker reports whether the load balancer should send callers to this daemon.
type ReadinessChecker interface {
	// Ready returns nil, or an error that states why callers should not be sent here.
	Ready() error
}

// OperatorHandler returns the handler for the operators' address. Calls below /v1/ must
// present key; the health and readiness checks need none.
func OperatorHandler(e *engine.Engine, key string, health ReadinessChecker, registry metrics.Registry) http.Handler {
	r := newRouter()
	r.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	r.GET("/readyz", func(c *gin.Context) { serveReadiness(c, health) })
	v1 := r.Group("/v1", requireKey(key))
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
		writeProblem(c, api.NewProblem(http.StatusNotFound, "the operators' interface has no such path"))
	})
	return r
}

// serveReadiness answers a readiness check.
func serveReadiness(c *gin.Context, h ReadinessChecker) {
	if err := h.Ready(); err != nil {
		writeProblem(c, api.NewProblem(http.StatusServiceUnavailable, err.Error()))
		return
	}
	c.String(http.StatusOK, "ready\n")
}

// tableParam returns the name of the table in the request path. It aborts the
// request and returns false if there is no such table.
func tableParam(c *gin.Context) (notch.TableName, bool) {
	name := notch.TableName(c.Param("table"))
	if name != notch.RoutesTable && name != notch.PoolsTable {
		writeProblem(c, api.NewProblem(http.StatusNotFound, "there is no such table; the tables are routes and pools"))
		return "", false
	}
	return name, true
}

// getTable returns the newest version of a table. It has a barrier committed first,
// so that a daemon that is cut off can't return an older version.
func getTable(c *gin.Context, e *engine.Engine) {
	name, ok := tableParam(c)
	if !ok {
		return
	}
	r, ok := submit(c, e, notch.Barrier{})
	if !ok {
		return
	}
	tables, ok := r.(notch.TablesResult)
	if !ok {
		writeError(c, http.StatusInternalServerError, errors.Errorf("unexpected result type %T", r))
		return
	}
	c.JSON(http.StatusOK, api.TableFrom(name, tables.Tables))
}

// maxEditIDBytes limits the id of an edit and the name of its author.
const maxEditIDBytes = 128

// putTable replaces a table by the one in the body.
func putTable(c *gin.Context, e *engine.Engine) {
	name, ok := tableParam(c)
	if !ok {
		return
	}
	var doc api.Edit
	if !decodeBody(c, &doc) {
		return
	}
	cmd, fields := editCommand(name, doc)
	if len(fields) > 0 {
		p := api.NewProblem(http.StatusUnprocessableEntity, "the edit violates the rules of the table; nothing was changed")
		p.Fields = api.FieldsFrom(fields)
		writeProblem(c, p)
		return
	}
	r, ok := submit(c, e, cmd)
	if !ok {
		return
	}
	edit, ok := r.(notch.EditResult)
	if !ok {
		writeError(c, http.StatusInternalServerError, errors.Errorf("unexpected result type %T", r))
		return
	}
	writeEditResult(c, edit)
}

// editCommand converts doc to an edit of the named table. It also returns the fields
// of doc that are wrong.
func editCommand(name notch.TableName, doc api.Edit) (notch.EditTable, []notch.FieldError) {
	var errs []notch.FieldError
	reject := func(field, reason string) { errs = append(errs, notch.FieldError{Field: field, Reason: reason}) }
	if doc.ID == "" || len(doc.ID) > maxEditIDBytes {
		reject("id", "must have 1 to 128 bytes")
	}
	if len(doc.By) > maxEditIDBytes {
		reject("by", "must have at most 128 bytes")
	}
	if name == notch.RoutesTable && len(doc.Pools) > 0 {
		reject("pools", "must be empty in an edit of the table routes")
	}
	if name == notch.PoolsTable && len(doc.Routes) > 0 {
		reject("routes", "must be empty in an edit of the table pools")
	}
	routes, routeErrs := api.ConvertRoutes(doc.Routes)
	return notch.EditTable{
		ID: doc.ID, Table: name, Base: doc.Base, Routes: routes, Pools: api.ConvertPools(doc.Pools), By: doc.By,
	}, append(errs, routeErrs...)
}

// writeEditResult answers an edit that was committed.
func writeEditResult(c *gin.Context, r notch.EditResult) {
	doc := api.EditResultFrom(r)
	switch r.Outcome {
	case notch.EditAccepted:
		c.JSON(http.StatusOK, doc)
	case notch.EditConflict:
		p := api.NewProblem(http.StatusConflict, "the table isn't at the version on which the edit is based; nothing was changed")
		p.Edit = &doc
		writeProblem(c, p)
	default:
		p := api.NewProblem(http.StatusUnprocessableEntity, "the edit violates the rules of the table; nothing was changed")
		p.Fields = doc.Fields
		writeProblem(c, p)
	}
}

// listEntries lists the entries with the table revision and the lease of each.
func listEntries(c *gin.Context, e *engine.Engine) {
	v, ok := query(c, e, notch.Query{Kind: notch.QueryEntries})
	if !ok {
		return
	}
	doc := api.Entries{Revision: v.Revision, Complete: v.Complete, Entries: []api.Entry{}}
	for _, x := range v.Entries {
		doc.Entries = append(doc.Entries, api.Entry{Name: x.Name, Revision: x.Revision, LeaseSeconds: x.Lease.Seconds()})
	}
	c.JSON(http.StatusOK, doc)
}

// listWorkers lists the registered workers.
func listWorkers(c *gin.Context, e *engine.Engine) {
	v, ok := query(c, e, notch.Query{Kind: notch.QueryWorkers})
	if !ok {
		return
	}
	docs := []api.WorkerStatus{}
	for _, w := range v.Workers {
		docs = append(docs, api.WorkerStatusFrom(w))
	}
	c.JSON(http.StatusOK, docs)
}
