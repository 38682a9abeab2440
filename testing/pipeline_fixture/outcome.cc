#include "rattanweir/base/asio/asio.h"

#include "testing/pipeline_fixture/outcome.h"

#include <catch2/catch.hpp>

#include <utility>

namespace rattanweir {
namespace {

class OutcomeSink final : public ResponseSink
{
public:
  explicit OutcomeSink(Outcome& aOutcome)
    : m_outcome(aOutcome)
  {
  }
  Task<void> WriteHead(ResponseHead aHead) override
  {
    REQUIRE_FALSE(m_outcome.m_head);
    m_outcome.m_head = std::move(aHead);
    co_return;
  }
  Task<void> WriteChunk(std::string aChunk) override
  {
    REQUIRE(m_outcome.m_head);
    m_outcome.m_body += aChunk;
    co_return;
  }
  Task<void> Finish() override
  {
    m_outcome.m_isComplete = true;
    co_return;
  }
  bool HasHead() const override { return m_outcome.m_head.has_value(); }

private:
  Outcome& m_outcome;
};

} // namespace

Task<void>
HandleAndRecord(RequestHandler& aHandler,
                InboundRequest aRequest,
                Outcome& aOutcome)
{
  OutcomeSink sink(aOutcome);
  try {
    co_await aHandler.Handle(std::move(aRequest), sink, aOutcome.m_cancel);
  } catch (const RequestError& error) {
    aOutcome.m_code = error.Code();
    aOutcome.m_ran = error.HasRun();
    aOutcome.m_retryAfter = error.RetryAfter();
  }
  aOutcome.m_isDone = true;
}

} // namespace rattanweir
