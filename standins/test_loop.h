#pragma once

#include "skylarkwind/http_client.h"

#include <kj/async-io.h>

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>

namespace skylarkwind {

/// A kj loop with an HTTP client, for tests that talk to programs.
class test_loop
{
public:
  explicit test_loop(const http_client_settings& aSettings = {})
    : mIo(kj::setupAsyncIo())
  {
    mHttp = http_client::Create(mIo.unixEventPort, mIo.provider->getTimer(), aSettings).value();
  }

  http_client& Http() { return *mHttp; }

  /// Runs the loop until the condition holds. False when it does not within the limit.
  bool Until(const std::function<bool()>& aCondition,
             std::chrono::milliseconds aLimit = std::chrono::seconds{ 20 })
  {
    auto until = std::chrono::steady_clock::now() + aLimit;
    while (!aCondition()) {
      if (std::chrono::steady_clock::now() >= until) {
        return false;
      }
      mIo.provider->getTimer().afterDelay(2 * kj::MILLISECONDS).wait(mIo.waitScope);
    }
    return true;
  }

  /// Runs one call to its end.
  http_result Run(http_request aRequest)
  {
    std::optional<http_result> result;
    mHttp->Start(std::move(aRequest),
                 { nullptr, [&](http_result aResult) { result = std::move(aResult); } });
    if (!Until([&]() { return result.has_value(); })) {
      throw std::runtime_error("the call did not end");
    }
    return std::move(*result);
  }

  std::string Get(const std::string& aUrl)
  {
    http_request request;
    request.mUrl = aUrl;
    return Run(std::move(request)).mBody;
  }

  std::string Post(const std::string& aUrl, const std::string& aBody)
  {
    http_request request;
    request.mMethod = "POST";
    request.mUrl = aUrl;
    request.mBody = aBody;
    return Run(std::move(request)).mBody;
  }

private:
  kj::AsyncIoContext mIo;
  std::unique_ptr<http_client> mHttp;
};

} // namespace skylarkwind
