// Applies to the gateway what new connections say about this instance's links
// to the backend servers of its region. Used on the users' platform (settings
// with `fleet`).
//
//   prober.Step(ServersToReach(state));
//   RecordConnection(state, endpoint, isOpen);

#pragma once

#include "rattanweir/request/gateway/gateway_state.h"

#include <set>
#include <vector>

namespace rattanweir {

// Records that a new connection to a server, of a request or a probe, was
// opened or failed, and logs what changes.
void
RecordConnection(GatewayState& aState, const Endpoint& aServer, bool aIsOpen);

// Returns the pools that have servers in this region of which this instance can
// connect to none.
std::set<PoolId>
UnreachablePools(const GatewayState& aState);

// Applies what the peers of this region say about the room at its servers.
void
MergeRoomsOfPeers(GatewayState& aState);

// Applies what the peers of this region say about servers that have refused a
// connection to them, and logs what is news.
void
MergeRefusalsOfPeers(GatewayState& aState);

// Returns the addresses of the servers that this instance sends requests to.
std::vector<Endpoint>
ServersToReach(const GatewayState& aState);

} // namespace rattanweir
