#include "check/history_internal.h"

/* An accepted revision that is not yet in force on a VM. */
struct pending_revision {
	uint64_t revision;
	int64_t left_us; /* time left, not counting faults */
	struct dh_where at; /* where it was accepted */
};

struct vm {
	const char *name; /* interned */
	bool known; /* known to be a VM, not a backend server */
	bool up;
	/* Set once a revision has come into force on the VM after its last
	 * start; cleared at each start. */
	bool forced;
	uint64_t revision;
	struct dh_where forced_at; /* event by which revision came into force */
	uint32_t faults; /* active faults of this VM */
	GQueue pending; /* struct pending_revision, owned, ascending */
};

struct accepted {
	uint64_t revision;
	int64_t t_us;
	struct dh_where at;
};

struct drain {
	int64_t t_us;
	struct dh_where at;
};

struct dh_lifecycle {
	GHashTable *drains; /* interned backend server -> drain, owned */
	GHashTable *vms; /* interned name -> vm, owned */
	GQueue accepted; /* struct accepted, owned, oldest first */
	uint32_t faults; /* active faults of all processes */
};

static void
vm_free(void *arg)
{
	struct vm *vm = arg;

	g_queue_clear_full(&vm->pending, g_free);
	g_free(vm);
}

struct dh_lifecycle *
dh_lifecycle_new(void)
{
	struct dh_lifecycle *l = g_new0(struct dh_lifecycle, 1);

	l->drains = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	l->vms = g_hash_table_new_full(NULL, NULL, NULL, vm_free);
	g_queue_init(&l->accepted);
	return l;
}

void
dh_lifecycle_free(struct dh_lifecycle *l)
{
	g_queue_clear_full(&l->accepted, g_free);
	g_hash_table_unref(l->vms);
	g_hash_table_unref(l->drains);
	g_free(l);
}

static void
on_drain(struct dh_history *h, const struct dh_event *ev, struct dh_where at)
{
	struct drain *d = g_new(struct drain, 1);

	d->t_us = ev->t_us;
	d->at = at;
	h->findings[DH_PROMISE_DRAINED].checked++;
	g_hash_table_replace(h->lifecycle->drains,
	    (gpointer)g_intern_string(ev->target.name), d);
}

static void
on_work(struct dh_history *h, const struct dh_event *ev, struct dh_where at)
{
	const struct drain *d =
	    g_hash_table_lookup(h->lifecycle->drains, g_intern_string(ev->src));

	if (d == NULL)
		return;
	h->findings[DH_PROMISE_DRAINED].checked++;
	if (ev->t_us - d->t_us <= h->params.drain_ms * DH_US_PER_MS)
		return;
	dh_history_broken(h, DH_PROMISE_DRAINED, at,
	    "%s gets request %s %.3f ms after it was told to leave (%s:%u)",
	    ev->src, ev->run.id, (double)(ev->t_us - d->t_us) / DH_US_PER_MS,
	    d->at.file, d->at.line);
}

void
dh_check_drained(
    struct dh_history *h, const struct dh_event *ev, struct dh_where at)
{
	switch (ev->kind) {
	case DH_EVENT_DRAIN:
		on_drain(h, ev, at);
		break;
	case DH_EVENT_UNDRAIN:
		g_hash_table_remove(
		    h->lifecycle->drains, g_intern_string(ev->target.name));
		break;
	case DH_EVENT_START:
	case DH_EVENT_REFUSE:
		on_work(h, ev, at);
		break;
	default:
		break;
	}
}

static struct vm *
vm_get(struct dh_lifecycle *l, const char *name)
{
	const char *key = g_intern_string(name);
	struct vm *vm = g_hash_table_lookup(l->vms, key);

	if (vm != NULL)
		return vm;
	vm = g_new0(struct vm, 1);
	vm->name = key;
	g_queue_init(&vm->pending);
	g_hash_table_insert(l->vms, (gpointer)key, vm);
	return vm;
}

static void
add_pending(struct dh_history *h, struct vm *vm, const struct accepted *a)
{
	struct pending_revision *d = g_new(struct pending_revision, 1);

	d->revision = a->revision;
	d->left_us = h->params.config_ms * DH_US_PER_MS;
	d->at = a->at;
	g_queue_push_tail(&vm->pending, d);
}

/* Drops accepted revisions that config_floor() can no longer return. */
static void
trim_accepted(struct dh_history *h)
{
	GQueue *q = &h->lifecycle->accepted;
	int64_t limit_us = h->params.config_ms * DH_US_PER_MS;
	const struct accepted *second;

	while (q->length > 1) {
		second = g_queue_peek_nth(q, 1);
		if (h->now_us - second->t_us <= limit_us)
			return;
		g_free(g_queue_pop_head(q));
	}
}

static void
on_accept(struct dh_history *h, const struct dh_event *ev, struct dh_where at)
{
	struct accepted *a = g_new(struct accepted, 1);
	GHashTableIter it;
	gpointer value;
	struct vm *vm;

	a->revision = ev->config.revision;
	a->t_us = ev->t_us;
	a->at = at;
	g_queue_push_tail(&h->lifecycle->accepted, a);
	trim_accepted(h);
	h->findings[DH_PROMISE_CONFIG_KEPT].checked++;
	g_hash_table_iter_init(&it, h->lifecycle->vms);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		vm = value;
		if (vm->known && vm->up && vm->revision < a->revision)
			add_pending(h, vm, a);
	}
}

/* A started VM gets the full time limit for the newest accepted revision. */
static void
on_vm_up(struct dh_history *h, const char *name)
{
	struct vm *vm = vm_get(h->lifecycle, name);
	const struct accepted *a = g_queue_peek_tail(&h->lifecycle->accepted);

	vm->up = true;
	vm->forced = false;
	vm->revision = 0;
	g_queue_clear_full(&vm->pending, g_free);
	if (vm->known && a != NULL)
		add_pending(h, vm, a);
}

/*
 * Marks a process as a VM.  Backend servers log "up" too, so only events that
 * concern VMs alone identify a VM.
 */
static void
on_vm_seen(struct dh_history *h, const char *name)
{
	struct vm *vm = vm_get(h->lifecycle, name);
	const struct accepted *a = g_queue_peek_tail(&h->lifecycle->accepted);

	if (vm->known)
		return;
	vm->known = true;
	if (vm->up && a != NULL)
		add_pending(h, vm, a);
}

static void
on_vm_end(struct dh_history *h, const char *name)
{
	struct vm *vm =
	    g_hash_table_lookup(h->lifecycle->vms, g_intern_string(name));

	if (vm == NULL)
		return;
	vm->up = false;
	g_queue_clear_full(&vm->pending, g_free);
}

/* Returns the newest revision whose time limit has passed, or NULL. */
static const struct accepted *
config_floor(const struct dh_history *h)
{
	int64_t limit_us = h->params.config_ms * DH_US_PER_MS;
	const struct accepted *found = NULL, *a;
	const GList *l;

	for (l = h->lifecycle->accepted.head; l != NULL; l = l->next) {
		a = l->data;
		if (h->now_us - a->t_us > limit_us)
			found = a;
	}
	return found;
}

static bool
has_active_fault(const struct dh_history *h, const struct vm *vm)
{
	return h->lifecycle->faults > 0 || vm->faults > 0;
}

static void
check_first_revision(struct dh_history *h, const struct vm *vm,
    uint64_t revision, struct dh_where at)
{
	const struct accepted *a = config_floor(h);

	if (a == NULL || revision >= a->revision || has_active_fault(h, vm))
		return;
	dh_history_broken(h, DH_PROMISE_CONFIG_KEPT, at,
	    "%s starts with revision %" PRIu64 ", but %" PRIu64
	    " was accepted %.3f ms ago (%s:%u)",
	    vm->name, revision, a->revision,
	    (double)(h->now_us - a->t_us) / DH_US_PER_MS, a->at.file,
	    a->at.line);
}

static void
on_force(struct dh_history *h, const struct dh_event *ev, struct dh_where at)
{
	struct vm *vm = vm_get(h->lifecycle, ev->src);
	uint64_t revision = ev->config.revision;
	struct pending_revision *d;

	h->findings[DH_PROMISE_CONFIG_KEPT].checked++;
	if (!vm->forced)
		check_first_revision(h, vm, revision, at);
	else if (revision < vm->revision)
		dh_history_broken(h, DH_PROMISE_CONFIG_KEPT, at,
		    "%s goes back from revision %" PRIu64
		    " (%s:%u) to %" PRIu64,
		    vm->name, vm->revision, vm->forced_at.file,
		    vm->forced_at.line, revision);
	vm->up = true;
	vm->forced = true;
	vm->revision = revision;
	vm->forced_at = at;
	d = g_queue_peek_head(&vm->pending);
	while (d != NULL && d->revision <= revision) {
		g_free(g_queue_pop_head(&vm->pending));
		d = g_queue_peek_head(&vm->pending);
	}
}

static void
on_fault(struct dh_history *h, const struct dh_event_target *tg)
{
	uint32_t *faults = tg->name == NULL
	    ? &h->lifecycle->faults
	    : &vm_get(h->lifecycle, tg->name)->faults;

	if (tg->on)
		(*faults)++;
	else if (*faults > 0)
		(*faults)--;
}

void
dh_check_config_kept(
    struct dh_history *h, const struct dh_event *ev, struct dh_where at)
{
	switch (ev->kind) {
	case DH_EVENT_ACCEPT:
		on_accept(h, ev, at);
		break;
	case DH_EVENT_FORCE:
		on_vm_seen(h, ev->src);
		on_force(h, ev, at);
		break;
	case DH_EVENT_ASSIGN:
		on_vm_seen(h, ev->src);
		break;
	case DH_EVENT_SEND:
		on_vm_seen(h, ev->send.via);
		break;
	case DH_EVENT_UP:
		on_vm_up(h, ev->src);
		break;
	case DH_EVENT_STOP:
		on_vm_seen(h, ev->target.name);
		on_vm_end(h, ev->target.name);
		break;
	case DH_EVENT_STOPPED:
	case DH_EVENT_DOWN:
		on_vm_end(h, ev->target.name);
		break;
	case DH_EVENT_FAULT:
		on_fault(h, &ev->target);
		break;
	default:
		break;
	}
}

static void
check_vm_deadlines(struct dh_history *h, struct vm *vm, int64_t passed_us)
{
	struct pending_revision *d;
	GList *l;

	for (l = vm->pending.head; l != NULL; l = l->next) {
		d = l->data;
		d->left_us -= passed_us;
	}
	d = g_queue_peek_head(&vm->pending);
	while (d != NULL && d->left_us < 0) {
		dh_history_broken(h, DH_PROMISE_CONFIG_KEPT, d->at,
		    "revision %" PRIu64 " is accepted, but not in force on %s "
		    "%" PRId64 " ms later, which has %" PRIu64,
		    d->revision, vm->name, h->params.config_ms, vm->revision);
		g_free(g_queue_pop_head(&vm->pending));
		d = g_queue_peek_head(&vm->pending);
	}
}

void
dh_lifecycle_pass(struct dh_history *h, int64_t now_us)
{
	GHashTableIter it;
	gpointer value;
	struct vm *vm;

	if (h->now_us == INT64_MIN || now_us == h->now_us)
		return;
	g_hash_table_iter_init(&it, h->lifecycle->vms);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		vm = value;
		if (vm->up && vm->pending.length > 0 &&
		    !has_active_fault(h, vm))
			check_vm_deadlines(h, vm, now_us - h->now_us);
	}
}
