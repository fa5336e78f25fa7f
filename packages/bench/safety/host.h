// Carries out what an entry's core asks for, in the modelled world.
#ifndef TARRAGONDRIFT_BENCH_SAFETY_HOST_H_
#define TARRAGONDRIFT_BENCH_SAFETY_HOST_H_

#include "world.h"

namespace tarragondrift::bench {

/// Finds an incarnation that ever lived.
entry_host* FindHost(const world& all, incarnation who);

/// Starts a new incarnation of an entry in a data centre.
entry_host& StartHost(world& all, uint16_t data_centre);

/// Carries out the actions of an entry's core, in order.
void Execute(world& all, entry_host& host, const actions& asked);

/// Makes a held request of an entry.
waiter_id HoldRequest(entry_host& host, const answer_route& route);

/// Takes the answer to a submission that an entry had sent on.
void TakeForwardedAnswer(world& all, entry_host& host, waiter_id waiter,
                         const job_answer_ptr& answer);

/// Ends a process at once.
void KillHost(world& all, entry_host& host);

/// Lists the entries that live, as their platform shows them.
std::vector<entry_host*> LiveHosts(world& all);

}  // namespace tarragondrift::bench

#endif  // TARRAGONDRIFT_BENCH_SAFETY_HOST_H_
