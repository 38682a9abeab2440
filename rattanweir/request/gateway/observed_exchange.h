// An exchange that records when bytes of its response arrive. Used on the
// users' platform (settings with `fleet`).
//
//   ServerSilence::Run run(silence, server);
//   ObservedExchange exchange(*sent, run);
//   const ResponseHead head = co_await exchange.ReadHead();

#pragma once

#include "rattanweir/process/server_silence/server_silence.h"
#include "rattanweir/request/exchange/exchange.h"

namespace rattanweir {

class ObservedExchange final : public UpstreamExchange
{
public:
  // Both must outlive the object.
  ObservedExchange(UpstreamExchange& aExchange, ServerSilence::Run& aRun)
    : m_exchange(aExchange)
    , m_run(aRun)
  {
  }

  Task<ResponseHead> ReadHead() override;
  Task<std::optional<std::string>> ReadChunk() override;

private:
  UpstreamExchange& m_exchange;
  ServerSilence::Run& m_run;
};

} // namespace rattanweir
