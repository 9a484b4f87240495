#pragma once

#include "skylarkwind/http_client.h"

#include <curl/curl.h>
#include <kj/time.h>

#include <memory>
#include <string>
#include <vector>

namespace skylarkwind {

/// One request and the libcurl handle that carries it. libcurl's callbacks only record; the
/// client passes on what was recorded once libcurl has returned.
class http_transfer
{
public:
  http_transfer(http_call aCall,
                http_request aRequest,
                http_callbacks aCallbacks,
                const http_client_settings& aSettings,
                std::vector<http_call>& aTouched);
  ~http_transfer();
  http_transfer(const http_transfer&) = delete;
  http_transfer& operator=(const http_transfer&) = delete;

  CURL* Easy() const { return mEasy; }
  http_call Call() const { return mCall; }
  const http_callbacks& Callbacks() const { return mCallbacks; }
  const std::string& Authority() const { return mAuthority; }

  /// When the call ends as silent unless bytes arrive before.
  kj::TimePoint Deadline() const { return mDeadline; }
  /// When the client looks at the deadline next.
  kj::TimePoint CheckAt() const { return mCheckAt; }
  void SetCheckAt(kj::TimePoint aTime) { mCheckAt = aTime; }
  /// Body that was read since the last call, empty when it is collected instead.
  std::string TakeStreamed();
  int Status() const { return mResult.mStatus; }

  void SetFreshConnection();
  void SetEnded(CURLcode aCode);
  bool Ended() const { return mEnded; }
  http_result Result();
  /// Result of a call whose progress limit passed.
  http_result SilentResult();

private:
  static std::size_t OnHeader(char* aData, std::size_t aSize, std::size_t aCount, void* aSelf);
  static std::size_t OnBody(char* aData, std::size_t aSize, std::size_t aCount, void* aSelf);
  static int OnBeforeWrite(void* aSelf, char*, char*, int, int);

  void SetOptions(const http_client_settings& aSettings);
  void Touch();
  void SetMethod();
  void SetHeaders();
  void ReadHeaderLine(std::string_view aLine);
  void Progressed();
  bool MaybeSent() const;

  http_call mCall;
  std::vector<http_call>& mTouched; ///< the client's list of calls with something to pass on
  bool mIsTouched = false;
  http_request mRequest;
  http_callbacks mCallbacks;
  std::string mAuthority;
  std::size_t mMaxBodyBytes;
  CURL* mEasy;
  curl_slist* mHeaderLines = nullptr;
  kj::TimePoint mDeadline;
  kj::TimePoint mCheckAt;
  http_result mResult;
  std::string mStreamed;
  int mWrites = 0; ///< how often libcurl was about to write the request
  bool mEnded = false;
  CURLcode mCode = CURLE_OK;
  char mError[CURL_ERROR_SIZE] = {};
};

} // namespace skylarkwind
