#include "rattanweir/base/asio/asio.h"

#include "testing/stand_in_store/stand_in_store.h"

#include "rattanweir/connection/http_client/http_client.h"
#include "rattanweir/request/exchange/header_fields.h"
#include "testing/raw_peer/raw_peer.h"

#include <catch2/catch.hpp>

namespace rattanweir::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Response
{
  unsigned m_status = 0;
  std::string m_era;
  std::string m_body;
};

struct Fixture
{
  Task<Response> Get(std::string aTarget, milliseconds aTimeout = seconds(2))
  {
    OutboundRequest request{ .m_method = "GET",
                             .m_target = std::move(aTarget),
                             .m_deadline =
                               SystemClock().SteadyNow() + aTimeout };
    const auto exchange =
      co_await m_upstream.Send(m_store.Address(), std::move(request), m_cancel);
    const ResponseHead head = co_await exchange->ReadHead();
    Response response{ .m_status = head.m_status,
                       .m_era = *FindHeader(head.m_headers, "Store-Era") };
    while (const auto chunk = co_await exchange->ReadChunk()) {
      response.m_body += *chunk;
    }
    co_return response;
  }

  asio::io_context m_context;
  StandInStore m_store{ m_context };
  HttpUpstream m_upstream{ { .m_executor = m_context.get_executor() } };
  CancelSource m_cancel;
};

TEST_CASE("a restore loses later changes and assigns their revisions again")
{
  Fixture fixture;
  RunTask(fixture.m_context, [&]() -> Task<void> {
    fixture.m_store.Put("op/a", "1");
    const StandInStore::Copy copy = fixture.m_store.TakeCopy();
    fixture.m_store.Put("op/a", "2");
    const Response before = co_await fixture.Get("/api/kv-range?prefix=op/");
    CHECK(before.m_era == "1");
    CHECK(before.m_body.find(R"("at":3)") != std::string::npos);
    fixture.m_store.Restore(copy);
    const Response gone =
      co_await fixture.Get("/api/kv-watch?prefix=op/&after=3&waitMs=100");
    CHECK(gone.m_status == 410);
    CHECK(gone.m_era == "2");
    fixture.m_store.Put("op/b", "3");
    const Response after =
      co_await fixture.Get("/api/kv-watch?prefix=op/&after=2&waitMs=100");
    CHECK(after.m_body.find(R"("revision":3)") != std::string::npos);
    CHECK(after.m_body.find("op/a") == std::string::npos);
  });
}

TEST_CASE("a watch from a dropped revision receives status 410")
{
  Fixture fixture;
  RunTask(fixture.m_context, [&]() -> Task<void> {
    fixture.m_store.Put("op/a", "1");
    fixture.m_store.DropHistory();
    const Response gone =
      co_await fixture.Get("/api/kv-watch?prefix=op/&after=1&waitMs=100");
    CHECK(gone.m_status == 410);
  });
}

TEST_CASE("a silenced call receives no response, and a later one does")
{
  Fixture fixture;
  RunTask(fixture.m_context, [&]() -> Task<void> {
    bool hasEnded = false;
    asio::co_spawn(
      fixture.m_context,
      [&]() -> Task<void> {
        try {
          co_await fixture.Get("/api/kv-watch?prefix=op/&after=1&waitMs=50",
                               milliseconds(400));
        } catch (const RequestError& error) {
          CHECK(error.Code() == ResultCode::DeadlineExceeded);
        }
        hasEnded = true;
      },
      asio::detached);
    co_await WaitUntil([&] { return fixture.m_store.Calls() == 1; });
    fixture.m_store.SilenceOpenCalls();
    fixture.m_store.Put("op/a", "1");
    const Response later = co_await fixture.Get("/api/kv-range?prefix=op/");
    CHECK(later.m_status == 200);
    CHECK_FALSE(hasEnded);
    co_await WaitUntil([&] { return hasEnded; });
  });
}

} // namespace
} // namespace rattanweir::testing
