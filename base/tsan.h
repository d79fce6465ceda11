#ifndef DH_BASE_TSAN_H
#define DH_BASE_TSAN_H

/*
 * The thread sanitizer does not see Concurrency Kit's assembler, nor the order
 * that it gives to what is handed from one thread to another.  These tell it:
 * all that a thread did before dh_tsan_release(p) happened before whatever
 * another does after its next dh_tsan_acquire(p).  In other builds they do
 * nothing.
 */
#ifdef __SANITIZE_THREAD__
#include <sanitizer/tsan_interface.h>
#endif

static inline void
dh_tsan_acquire(void *p)
{
#ifdef __SANITIZE_THREAD__
	__tsan_acquire(p);
#else
	(void)p;
#endif
}

static inline void
dh_tsan_release(void *p)
{
#ifdef __SANITIZE_THREAD__
	__tsan_release(p);
#else
	(void)p;
#endif
}

#endif
