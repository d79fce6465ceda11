#ifndef DH_BASE_TSAN_H
#define DH_BASE_TSAN_H

/*
 * Annotations for the thread sanitizer, which cannot see the memory ordering of
 * Concurrency Kit's inline assembly.  Everything that a thread did before
 * dh_tsan_release(p) happens before everything that another thread does after
 * its next dh_tsan_acquire(p).  In other builds the functions do nothing.
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
