package gateway

// ShedCaches drops what the daemon can do without: what it knows of the engines' prompt caches, and
// idle connections to endpoints. used is the memory in use, in bytes.
func (g *Gateway) ShedCaches(used int64) {
	g.registry.ForgetPrompts()
	g.sender.CloseIdle()
	g.scope.Counter("caches_shed").Inc(1)
	if logDue(&g.cachesShedLoggedAt) {
		g.c.Logger.Warn("memory is short, caches dropped", "used_bytes", used, "limit_bytes", g.c.Deployment.MemoryBytes)
	}
}
