/*
 * sync - tells the thread sanitizer of orders that it cannot see
 *
 * liburcu orders memory with instructions of its own, which the sanitizer does not
 * follow.  Where a value is handed over through it, the giver marks the value as
 * released and the taker as acquired.  In other builds both do nothing.
 */
#ifndef HORNBEAMWALL_COMMON_SYNC_H
#define HORNBEAMWALL_COMMON_SYNC_H

#ifdef __SANITIZE_THREAD__
void __tsan_acquire (void *address);
void __tsan_release (void *address);
#define HBW_SYNC_ACQUIRE(address) __tsan_acquire (address)
#define HBW_SYNC_RELEASE(address) __tsan_release (address)
#else
#define HBW_SYNC_ACQUIRE(address) ((void) (address))
#define HBW_SYNC_RELEASE(address) ((void) (address))
#endif

#endif
