/*
 * tsan - annotations for the thread sanitizer
 *
 * liburcu uses its own memory barriers, which the sanitizer does not recognise.
 * Where a value is handed over through liburcu, the sender marks it as released and
 * the receiver as acquired.  Without the sanitizer, both macros do nothing.
 */
#ifndef HORNBEAMWALL_COMMON_TSAN_H
#define HORNBEAMWALL_COMMON_TSAN_H

#ifdef __SANITIZE_THREAD__
void __tsan_acquire (void *address);
void __tsan_release (void *address);
#define HBW_TSAN_ACQUIRE(address) __tsan_acquire (address)
#define HBW_TSAN_RELEASE(address) __tsan_release (address)
#else
#define HBW_TSAN_ACQUIRE(address) ((void) (address))
#define HBW_TSAN_RELEASE(address) ((void) (address))
#endif

#endif
