#include "test_system.h"

#include <curl/curl.h>

#include <sstream>

namespace skylarkwind::sessions {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

struct slist_deleter
{
  void operator()(curl_slist* aList) const { curl_slist_free_all(aList); }
};
using slist = std::unique_ptr<curl_slist, slist_deleter>;

struct easy_deleter
{
  void operator()(CURL* aHandle) const { curl_easy_cleanup(aHandle); }
};
using easy = std::unique_ptr<CURL, easy_deleter>;

slist
HeaderList(const header_lines& aHeaders)
{
  slist list{ curl_slist_append(nullptr, "Expect:") };
  for (const auto& header : aHeaders) {
    list.reset(curl_slist_append(list.release(), header.c_str()));
  }
  return list;
}

std::size_t
AppendTo(char* aData, std::size_t aSize, std::size_t aCount, void* aBody)
{
  static_cast<std::string*>(aBody)->append(aData, aSize * aCount);
  return aSize * aCount;
}

} // namespace

http_reply
Call(const std::string& aMethod,
     const std::string& aUrl,
     const header_lines& aHeaders,
     const std::string& aBody,
     milliseconds aLimit)
{
  const easy curl{ curl_easy_init() };
  const auto headers = HeaderList(aHeaders);
  http_reply reply;
  curl_easy_setopt(curl.get(), CURLOPT_URL, aUrl.c_str());
  curl_easy_setopt(curl.get(), CURLOPT_CUSTOMREQUEST, aMethod.c_str());
  curl_easy_setopt(curl.get(), CURLOPT_HTTPHEADER, headers.get());
  if (!aBody.empty()) {
    curl_easy_setopt(curl.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(aBody.size()));
    curl_easy_setopt(curl.get(), CURLOPT_POSTFIELDS, aBody.c_str());
  }
  curl_easy_setopt(curl.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(aLimit.count()));
  curl_easy_setopt(curl.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl.get(), CURLOPT_WRITEFUNCTION, &AppendTo);
  curl_easy_setopt(curl.get(), CURLOPT_WRITEDATA, &reply.mBody);
  const auto code = curl_easy_perform(curl.get());
  reply.mBroken = code != CURLE_OK;
  long status = 0;
  curl_easy_getinfo(curl.get(), CURLINFO_RESPONSE_CODE, &status);
  reply.mStatus = static_cast<int>(status);
  return reply;
}

bool
WaitUntil(const std::function<bool()>& aCondition, milliseconds aLimit)
{
  constexpr milliseconds kStep{ 10 };
  const auto until = std::chrono::steady_clock::now() + aLimit;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= until) {
      return false;
    }
    std::this_thread::sleep_for(kStep);
  }
  return true;
}

open_call::open_call(std::string aUrl, header_lines aHeaders, std::string aBody)
  : mUrl{ std::move(aUrl) }
  , mHeaders{ std::move(aHeaders) }
  , mRequestBody{ std::move(aBody) }
  , mThread{ [this] { Run(); } }
{
}

open_call::~open_call()
{
  Abort();
  mThread.join();
}

std::string
open_call::Received() const
{
  const std::lock_guard lock{ mMutex };
  return mReply.mBody;
}

http_reply
open_call::Wait()
{
  WaitUntil([this] { return mEnded.load(); }, std::chrono::seconds{ 90 });
  const std::lock_guard lock{ mMutex };
  return mReply;
}

std::size_t
open_call::OnData(char* aData, std::size_t aSize, std::size_t aCount, void* aSelf)
{
  auto& self = *static_cast<open_call*>(aSelf);
  while (self.mPaused && !self.mAborted) {
    std::this_thread::sleep_for(milliseconds{ 5 });
  }
  const std::lock_guard lock{ self.mMutex };
  self.mReply.mBody.append(aData, aSize * aCount);
  return aSize * aCount;
}

int
open_call::OnProgress(void* aSelf, long, long, long, long)
{
  return static_cast<open_call*>(aSelf)->mAborted ? 1 : 0;
}

void
open_call::Run()
{
  const easy curl{ curl_easy_init() };
  const auto headers = HeaderList(mHeaders);
  curl_easy_setopt(curl.get(), CURLOPT_URL, mUrl.c_str());
  curl_easy_setopt(curl.get(), CURLOPT_HTTPHEADER, headers.get());
  curl_easy_setopt(curl.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(mRequestBody.size()));
  curl_easy_setopt(curl.get(), CURLOPT_POSTFIELDS, mRequestBody.c_str());
  curl_easy_setopt(curl.get(), CURLOPT_TIMEOUT, 80L);
  curl_easy_setopt(curl.get(), CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(curl.get(), CURLOPT_WRITEFUNCTION, &open_call::OnData);
  curl_easy_setopt(curl.get(), CURLOPT_WRITEDATA, this);
  curl_easy_setopt(curl.get(), CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt(curl.get(), CURLOPT_XFERINFOFUNCTION, &open_call::OnProgress);
  curl_easy_setopt(curl.get(), CURLOPT_XFERINFODATA, this);
  const auto code = curl_easy_perform(curl.get());
  long status = 0;
  curl_easy_getinfo(curl.get(), CURLINFO_RESPONSE_CODE, &status);
  {
    const std::lock_guard lock{ mMutex };
    mReply.mStatus = static_cast<int>(status);
    mReply.mBroken = code != CURLE_OK;
  }
  mEnded = true;
}

stream_view
ReadStream(const std::string& aBody)
{
  stream_view view;
  std::istringstream lines{ aBody };
  std::string line;
  while (std::getline(lines, line)) {
    if (line.starts_with("id: ")) {
      view.mLastEventId = line.substr(4);
    } else if (line == "data: [DONE]") {
      view.mDone = true;
    } else if (line.starts_with("data: ")) {
      const auto chunk = json::parse(line.substr(6), nullptr, false);
      if (chunk.is_object() && chunk.contains("error")) {
        view.mError = chunk.dump();
      } else if (chunk.is_object()) {
        view.mText += chunk["choices"][0].value("text", "");
      }
    }
  }
  return view;
}

} // namespace skylarkwind::sessions
