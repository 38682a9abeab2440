#include "rattanweir/base/asio/asio.h"

#include "rattanweir/request/gateway/observed_exchange.h"

namespace rattanweir {

Task<ResponseHead>
ObservedExchange::ReadHead()
{
  ResponseHead head = co_await m_exchange.ReadHead();
  m_run.RecordBytes();
  co_return head;
}

Task<std::optional<std::string>>
ObservedExchange::ReadChunk()
{
  std::optional<std::string> chunk = co_await m_exchange.ReadChunk();
  m_run.RecordBytes();
  co_return chunk;
}

} // namespace rattanweir
