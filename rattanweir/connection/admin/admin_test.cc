#include "rattanweir/base/asio/asio.h"

#include "rattanweir/connection/admin/admin_routes.h"
#include "testing/raw_peer/raw_peer.h"

#include <catch2/catch.hpp>

namespace rattanweir {
namespace {

// Records the response that is written to it.
class RecordingSink final : public ResponseSink
{
public:
  Task<void> WriteHead(ResponseHead aHead) override
  {
    m_head = std::move(aHead);
    co_return;
  }
  Task<void> WriteChunk(std::string aChunk) override
  {
    m_body += aChunk;
    co_return;
  }
  Task<void> Finish() override
  {
    m_isComplete = true;
    co_return;
  }
  bool HasHead() const override { return m_head.has_value(); }

  std::optional<ResponseHead> m_head;
  std::string m_body;
  bool m_isComplete = false;
};

TEST_CASE("requests are dispatched by method and path")
{
  AdminRoutes routes;
  routes.Register("GET", "/explain", [](const AdminQuery& aQuery) {
    return AdminResponse{ .m_body = aQuery.Require("route") + "|" +
                                    aQuery.Find("model").value_or("none") };
  });
  routes.Register("POST", "/drain", [](const AdminQuery&) {
    return AdminResponse{ .m_status = 202, .m_body = "draining" };
  });
  const struct
  {
    std::string m_method;
    std::string m_target;
    // The expected response body. Empty if m_code is expected instead.
    std::string m_body;
    ResultCode m_code;
  } cases[] = {
    { "GET", "/explain?route=a%2Fb+c&model=%c3%A9", "a/b c|\xc3\xa9" },
    { "HEAD", "/explain?route=x", "x|none" },
    { "GET", "/explain?&route=a%3D%26&&model", "a=&|" },
    { "GET", "/%65xplain?route=a=b", "a=b|none" },
    { "POST", "/drain", "draining" },
    { "GET", "/drain", "", ResultCode::UnknownRoute },
    { "GET", "/explain/", "", ResultCode::UnknownRoute },
    { "GET", "/explain", "", ResultCode::MalformedRequest },
    { "GET", "/explain?route=%2", "", ResultCode::MalformedRequest },
    { "GET", "/explain?route=%-1", "", ResultCode::MalformedRequest },
    { "GET", "/explain?route=%zz", "", ResultCode::MalformedRequest },
    { "GET", "/explain?route=a&route=b", "", ResultCode::MalformedRequest },
  };
  for (const auto& row : cases) {
    RecordingSink sink;
    CancelSource cancel;
    ResultCode code = ResultCode::Ok;
    asio::io_context context;
    RunTask(context, [&]() -> Task<void> {
      InboundRequest request{ .m_method = row.m_method,
                              .m_target = row.m_target };
      try {
        co_await routes.Handle(request, sink, cancel);
      } catch (const RequestError& error) {
        code = error.Code();
      }
    });
    CAPTURE(row.m_method, row.m_target);
    CHECK(code == row.m_code);
    CHECK(sink.m_body == row.m_body);
    CHECK(sink.m_isComplete == (row.m_code == ResultCode::Ok));
    CHECK(sink.HasHead() == sink.m_isComplete);
    if (sink.m_head) {
      CHECK(sink.m_head->m_contentLength == row.m_body.size());
    }
  }
}

} // namespace
} // namespace rattanweir
