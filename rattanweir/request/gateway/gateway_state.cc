#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/gateway/gateway_state.h"

#include "rattanweir/process/logging/log.h"

namespace rattanweir {

void
MarkDraining(GatewayState& aState,
             const BackendServerId& aIncarnation,
             const std::string& aSource)
{
  if (!aState.m_registry.MarkDraining(aIncarnation)) {
    return;
  }
  aState.m_metrics.Count("rattanweir_servers_draining_total");
  Log(LogLevel::Info,
      "server_draining",
      { { "server", aIncarnation.Value() }, { "source", aSource } });
}

} // namespace rattanweir
