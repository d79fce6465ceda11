#include "control/mailbox.h"

#include <ck_ring.h>
#include <glib.h>

#include "base/tsan.h"

CK_RING_PROTOTYPE(mail, dh_mail)

struct dh_mailbox {
	ck_ring_t ring;
	struct dh_mail *buffer;
	uv_async_t *wake;
	void (*on_mail)(void *arg, const struct dh_mail *mail);
	void *arg;
};

static void
on_wake(uv_async_t *wake)
{
	struct dh_mailbox *mb = wake->data;
	struct dh_mail mail;

	while (ck_ring_dequeue_spsc_mail(&mb->ring, mb->buffer, &mail)) {
		dh_tsan_release(mb->buffer);
		dh_tsan_acquire(mb);
		mb->on_mail(mb->arg, &mail);
	}
}

static void
wake_closed(uv_handle_t *handle)
{
	g_free(handle);
}

struct dh_mailbox *
dh_mailbox_new(uv_loop_t *consumer, uint32_t size,
    void (*on_mail)(void *arg, const struct dh_mail *mail), void *arg)
{
	struct dh_mailbox *mb =
	    g_aligned_alloc0(1, sizeof(*mb), CK_MD_CACHELINE);

	g_assert(size >= 4 && (size & (size - 1)) == 0);
	ck_ring_init(&mb->ring, size);
	mb->buffer = g_new0(struct dh_mail, size);
	mb->on_mail = on_mail;
	mb->arg = arg;
	mb->wake = g_new0(uv_async_t, 1);
	uv_async_init(consumer, mb->wake, on_wake);
	mb->wake->data = mb;
	return mb;
}

void
dh_mailbox_free(struct dh_mailbox *mb)
{
	if (mb == NULL)
		return;
	uv_close((uv_handle_t *)mb->wake, wake_closed);
	g_free(mb->buffer);
	g_aligned_free(mb);
}

bool
dh_mailbox_send(struct dh_mailbox *mb, const struct dh_mail *mail)
{
	struct dh_mail copy = *mail;

	dh_tsan_acquire(mb->buffer);
	dh_tsan_release(mb);
	if (!ck_ring_enqueue_spsc_mail(&mb->ring, mb->buffer, &copy))
		return false;
	uv_async_send(mb->wake);
	return true;
}
