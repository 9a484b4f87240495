#include "http_transfer_p.h"

#include "skylarkwind/http_syntax.h"

namespace skylarkwind {

namespace {

/// No limit set means one day, which is more than any call lasts.
kj::TimePoint
After(std::chrono::milliseconds aDelay)
{
  if (aDelay.count() <= 0) {
    aDelay = std::chrono::hours{ 24 };
  }
  return kj::systemPreciseMonotonicClock().now() + aDelay.count() * kj::MILLISECONDS;
}

std::string_view
Trimmed(std::string_view aText)
{
  auto first = aText.find_first_not_of(" \t");
  auto last = aText.find_last_not_of(" \t\r\n");
  return first == std::string_view::npos ? std::string_view{}
                                         : aText.substr(first, last - first + 1);
}

/// A header line that an attacker could split is left out.
bool
SafeHeader(const std::string& aName, const std::string& aValue)
{
  return !aName.empty() && aName.find_first_of("\r\n: ") == std::string::npos &&
         aValue.find_first_of("\r\n") == std::string::npos;
}

std::string
AuthorityOf(const std::string& aUrl)
{
  auto start = aUrl.find("://");
  start = start == std::string::npos ? 0 : start + 3;
  return aUrl.substr(start, aUrl.find('/', start) - start);
}

} // namespace

http_transfer::http_transfer(http_call aCall,
                             http_request aRequest,
                             http_callbacks aCallbacks,
                             const http_client_settings& aSettings,
                             std::vector<http_call>& aTouched)
  : mCall(aCall)
  , mTouched(aTouched)
  , mRequest(std::move(aRequest))
  , mCallbacks(std::move(aCallbacks))
  , mAuthority(AuthorityOf(mRequest.mUrl))
  , mMaxBodyBytes(aSettings.mMaxBodyBytes)
  , mEasy(curl_easy_init())
  , mDeadline(After(mRequest.mFirstProgressLimit))
  , mCheckAt(mDeadline)
{
  SetOptions(aSettings);
  SetMethod();
  SetHeaders();
}

http_transfer::~http_transfer()
{
  curl_easy_cleanup(mEasy);
  curl_slist_free_all(mHeaderLines);
}

void
http_transfer::SetFreshConnection()
{
  curl_easy_setopt(mEasy, CURLOPT_FRESH_CONNECT, 1L);
}

void
http_transfer::SetEnded(CURLcode aCode)
{
  mCode = aCode;
  mEnded = true;
  Touch();
}

void
http_transfer::Touch()
{
  if (!std::exchange(mIsTouched, true)) {
    mTouched.push_back(mCall);
  }
}

void
http_transfer::SetOptions(const http_client_settings& aSettings)
{
  auto set = [this](auto aOption, auto aValue) { curl_easy_setopt(mEasy, aOption, aValue); };
  set(CURLOPT_URL, mRequest.mUrl.c_str());
  set(CURLOPT_PRIVATE, static_cast<void*>(this));
  set(CURLOPT_ERRORBUFFER, mError);
  set(CURLOPT_NOSIGNAL, 1L);
  // Settings of the environment must not send traffic through a proxy.
  set(CURLOPT_PROXY, "");
  set(CURLOPT_PROTOCOLS_STR, "http");
  set(CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
  set(CURLOPT_PATH_AS_IS, 1L);
  set(CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(aSettings.mConnectLimit.count()));
  set(CURLOPT_TCP_KEEPALIVE, 1L);
  set(CURLOPT_TCP_KEEPIDLE, static_cast<long>(aSettings.mKeepAlive.count()));
  set(CURLOPT_TCP_KEEPINTVL, static_cast<long>(aSettings.mKeepAlive.count()));
  set(CURLOPT_MAXAGE_CONN, static_cast<long>(aSettings.mMaxIdle.count()));
  set(CURLOPT_MAXLIFETIME_CONN, static_cast<long>(aSettings.mMaxAge.count()));
  set(CURLOPT_FRESH_CONNECT, mRequest.mFreshConnection ? 1L : 0L);
  set(CURLOPT_HEADERFUNCTION, &http_transfer::OnHeader);
  set(CURLOPT_HEADERDATA, static_cast<void*>(this));
  set(CURLOPT_WRITEFUNCTION, &http_transfer::OnBody);
  set(CURLOPT_WRITEDATA, static_cast<void*>(this));
  set(CURLOPT_PREREQFUNCTION, &http_transfer::OnBeforeWrite);
  set(CURLOPT_PREREQDATA, static_cast<void*>(this));
}

void
http_transfer::SetMethod()
{
  const auto& method = mRequest.mMethod;
  if (method == "HEAD") {
    curl_easy_setopt(mEasy, CURLOPT_NOBODY, 1L);
    return;
  }
  if (!mRequest.mBody.empty() || method == "POST" || method == "PUT" || method == "PATCH") {
    curl_easy_setopt(mEasy, CURLOPT_POST, 1L);
    curl_easy_setopt(
      mEasy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(mRequest.mBody.size()));
    curl_easy_setopt(mEasy, CURLOPT_POSTFIELDS, mRequest.mBody.data());
  }
  curl_easy_setopt(mEasy, CURLOPT_CUSTOMREQUEST, method.c_str());
}

void
http_transfer::SetHeaders()
{
  bool hasType = false;
  for (const auto& [name, value] : mRequest.mHeaders) {
    if (!SafeHeader(name, value)) {
      continue;
    }
    hasType = hasType || EqualIgnoringCase(name, "Content-Type");
    // A header without value is written with a semicolon; a colon would remove it.
    auto line = name;
    line.append(value.empty() ? ";" : ": ").append(value);
    mHeaderLines = curl_slist_append(mHeaderLines, line.c_str());
  }
  // Waiting for "100 Continue" would add a round trip, or a second at peers that ignore it.
  mHeaderLines = curl_slist_append(mHeaderLines, "Expect:");
  if (!hasType) {
    mHeaderLines = curl_slist_append(mHeaderLines, "Content-Type:");
  }
  curl_easy_setopt(mEasy, CURLOPT_HTTPHEADER, mHeaderLines);
}

std::size_t
http_transfer::OnHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aSelf)
{
  auto& self = *static_cast<http_transfer*>(aSelf);
  self.Progressed();
  self.ReadHeaderLine({ aData, aSize * aCount });
  return aSize * aCount;
}

void
http_transfer::ReadHeaderLine(std::string_view aLine)
{
  if (aLine.starts_with("HTTP/")) {
    // The head of the final answer replaces those of interim answers.
    long status = 0;
    curl_easy_getinfo(mEasy, CURLINFO_RESPONSE_CODE, &status);
    mResult.mStatus = static_cast<int>(status);
    mResult.mHeaders.clear();
    return;
  }
  auto colon = aLine.find(':');
  if (colon != std::string_view::npos) {
    mResult.mHeaders.emplace_back(Trimmed(aLine.substr(0, colon)),
                                  Trimmed(aLine.substr(colon + 1)));
  }
}

std::size_t
http_transfer::OnBody(char* aData, std::size_t aSize, std::size_t aCount, void* aSelf)
{
  auto& self = *static_cast<http_transfer*>(aSelf);
  self.Progressed();
  auto& target = self.mCallbacks.mOnBody ? self.mStreamed : self.mResult.mBody;
  if (target.size() + aSize * aCount > self.mMaxBodyBytes) {
    return 0;
  }
  target.append(aData, aSize * aCount);
  self.Touch();
  return aSize * aCount;
}

/// libcurl calls this when the connection stands and it is about to write the request. It also
/// does so when it repeats a request by itself because a reused connection was closed.
int
http_transfer::OnBeforeWrite(void* aSelf, char*, char*, int, int)
{
  auto& self = *static_cast<http_transfer*>(aSelf);
  if (self.mWrites > 0 && !self.mRequest.mRepeatable) {
    return CURL_PREREQFUNC_ABORT;
  }
  if (self.mRequest.mMayWrite && !self.mRequest.mMayWrite()) {
    return CURL_PREREQFUNC_ABORT;
  }
  ++self.mWrites;
  return CURL_PREREQFUNC_OK;
}

void
http_transfer::Progressed()
{
  mDeadline = After(mRequest.mProgressLimit);
  if (mDeadline < mCheckAt) {
    Touch();
  }
}

std::string
http_transfer::TakeStreamed()
{
  mIsTouched = false;
  return std::exchange(mStreamed, {});
}

bool
http_transfer::MaybeSent() const
{
  long bytes = 0;
  curl_easy_getinfo(mEasy, CURLINFO_REQUEST_SIZE, &bytes);
  return mWrites > 0 || bytes > 0 || mResult.mStatus != 0;
}

http_result
http_transfer::Result()
{
  if (mCode == CURLE_OK) {
    long status = 0;
    curl_easy_getinfo(mEasy, CURLINFO_RESPONSE_CODE, &status);
    mResult.mStatus = static_cast<int>(status);
    mResult.mEnd = http_end::Complete;
    return std::move(mResult);
  }
  mResult.mEnd = MaybeSent() ? http_end::Broken : http_end::NotSent;
  mResult.mReason = mError[0] != '\0' ? mError : curl_easy_strerror(mCode);
  return std::move(mResult);
}

http_result
http_transfer::SilentResult()
{
  mResult.mEnd = MaybeSent() ? http_end::Silent : http_end::NotSent;
  mResult.mReason =
    mResult.mStatus == 0 ? "no answer within the time limit" : "no progress within the time limit";
  return std::move(mResult);
}

} // namespace skylarkwind
