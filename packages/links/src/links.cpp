#include "skylarkwind/links.h"

#include "skylarkwind/hash.h"
#include "wire_p.h"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>

#include <map>
#include <unordered_map>
#include <utility>

namespace skylarkwind {

namespace {

kj::Duration
ToKj(std::chrono::milliseconds aTime)
{
  return aTime.count() * kj::MILLISECONDS;
}

absl::string_view
ToAbsl(const kj::Exception& aError)
{
  return { aError.getDescription().cStr(), aError.getDescription().size() };
}

/// Messages of other daemons that wait for the node's answer.
class pending_answers
{
public:
  kj::Promise<peer_reply> Add(peer_call_id aCall)
  {
    auto pair = kj::newPromiseAndFulfiller<peer_reply>();
    mWaiting.emplace(aCall, kj::mv(pair.fulfiller));
    return kj::mv(pair.promise);
  }
  void Fulfil(const respond_to_peer& aAnswer)
  {
    const auto found = mWaiting.find(aAnswer.mCall);
    if (found != mWaiting.end()) {
      found->second->fulfill(peer_reply{ aAnswer.mReply });
      mWaiting.erase(found);
    }
  }
  void Forget(peer_call_id aCall) { mWaiting.erase(aCall); }

private:
  std::unordered_map<peer_call_id, kj::Own<kj::PromiseFulfiller<peer_reply>>> mWaiting;
};

struct server_state
{
  const links_settings& mSettings;
  kj::Timer& mTimer;
  std::function<void(event)> mSink;
  counter& mRefused;
  counter& mReceived;
  pending_answers mPending;
  std::uint64_t mLastCall = 0;
};

/// The interface that other daemons call.
class peer_server final : public wire::Peer::Server
{
public:
  explicit peer_server(server_state& aState)
    : mState{ aState }
  {
  }

  kj::Promise<void> probe(ProbeContext aContext) override
  {
    const auto params = aContext.getParams();
    CheckCredential(params.getCredential());
    return Ask(DecodeGossip<probe_message>(params.getGossip()))
      .then([aContext](const peer_reply& aReply) mutable {
        EncodeGossip(std::get<probe_reply>(aReply), aContext.getResults().initGossip());
      });
  }

  kj::Promise<void> indirectProbe(IndirectProbeContext aContext) override
  {
    const auto params = aContext.getParams();
    CheckCredential(params.getCredential());
    return Ask(indirect_probe{ Decode(params.getSender()), Decode(params.getTarget()) })
      .then([aContext](const peer_reply& aReply) mutable {
        aContext.getResults().setReached(std::get<indirect_probe_reply>(aReply).mReached);
      });
  }

  kj::Promise<void> pushDocument(PushDocumentContext aContext) override
  {
    const auto params = aContext.getParams();
    CheckCredential(params.getCredential());
    const auto document = params.getDocument();
    push_document message{ document.getName(), document.getVersion(), document.getValue(), {} };
    for (const auto location : params.getForwardTo()) {
      message.mForwardTo.push_back(Decode(location));
    }
    return Ask(std::move(message)).then([aContext](const peer_reply& aReply) mutable {
      EncodeDocument(aReply, aContext.getResults().initDocument());
    });
  }

  kj::Promise<void> pullDocument(PullDocumentContext aContext) override
  {
    const auto params = aContext.getParams();
    CheckCredential(params.getCredential());
    return Ask(pull_document{ params.getName(), params.getAfterVersion() })
      .then([aContext](const peer_reply& aReply) mutable {
        EncodeDocument(aReply, aContext.getResults().initDocument());
      });
  }

  kj::Promise<void> claim(ClaimContext aContext) override
  {
    const auto params = aContext.getParams();
    CheckCredential(params.getCredential());
    return Ask(claim_message{ params.getShard(), params.getKey(), params.getEntry() })
      .then([aContext](const peer_reply& aReply) mutable {
        const auto& reply = std::get<claim_reply>(aReply);
        aContext.getResults().setSettled(reply.mSettled);
        aContext.getResults().setEntry(reply.mEntry);
      });
  }

private:
  void CheckCredential(capnp::Text::Reader aCredential)
  {
    const std::string_view given{ aCredential.cStr(), aCredential.size() };
    if (!EqualConstantTime(given, mState.mSettings.mCredential)) {
      mState.mRefused.Add();
      kj::throwFatalException(
        KJ_EXCEPTION(FAILED, "the credential is not that of this system's daemons"));
    }
  }

  kj::Promise<peer_reply> Ask(peer_message aMessage)
  {
    mState.mReceived.Add();
    const peer_call_id call{ ++mState.mLastCall };
    auto answer = mState.mPending.Add(call);
    mState.mSink(peer_request_received{ call, std::move(aMessage) });
    return mState.mTimer.timeoutAfter(ToKj(mState.mSettings.mAnswerLimit), kj::mv(answer))
      .attach(kj::defer([state = &mState, call] { state->mPending.Forget(call); }));
  }

  static void EncodeDocument(const peer_reply& aReply, wire::Document::Builder aOut)
  {
    const auto& reply = std::get<document_reply>(aReply);
    aOut.setName(reply.mName);
    aOut.setVersion(reply.mVersion);
    aOut.setValue(reply.mValue);
  }

  server_state& mState;
};

capnp::ReaderOptions
ReadLimit(std::size_t aMaxWords)
{
  capnp::ReaderOptions options;
  options.traversalLimitInWords = aMaxWords;
  return options;
}

/// One outgoing connection.
struct connection
{
  connection(kj::Own<kj::AsyncIoStream> aStream, kj::TimePoint aOpened, std::size_t aMaxWords)
    : mStream{ kj::mv(aStream) }
    , mNetwork{ *mStream, capnp::rpc::twoparty::Side::CLIENT, ReadLimit(aMaxWords) }
    , mSystem{ capnp::makeRpcClient(mNetwork) }
    , mPeer{ Bootstrap(mSystem) }
    , mOpened{ aOpened }
  {
  }

  static wire::Peer::Client Bootstrap(capnp::RpcSystem<capnp::rpc::twoparty::VatId>& aSystem)
  {
    capnp::MallocMessageBuilder message;
    auto server = message.initRoot<capnp::rpc::twoparty::VatId>();
    server.setSide(capnp::rpc::twoparty::Side::SERVER);
    return aSystem.bootstrap(server).castAs<wire::Peer>();
  }

  kj::Own<kj::AsyncIoStream> mStream;
  capnp::TwoPartyVatNetwork mNetwork;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> mSystem;
  wire::Peer::Client mPeer;
  kj::TimePoint mOpened;
};

using peer_ptr = std::shared_ptr<connection>;

/// Sends one message over a connection and decodes its reply.
struct send_visitor
{
  wire::Peer::Client& mPeer;
  const std::string& mCredential;

  kj::Promise<peer_reply> operator()(const probe_message& aMessage) const
  {
    auto request = mPeer.probeRequest();
    request.setCredential(mCredential);
    EncodeGossip(aMessage, request.initGossip());
    return request.send().then([](auto aResponse) -> peer_reply {
      return DecodeGossip<probe_reply>(aResponse.getGossip());
    });
  }
  kj::Promise<peer_reply> operator()(const indirect_probe& aMessage) const
  {
    auto request = mPeer.indirectProbeRequest();
    request.setCredential(mCredential);
    Encode(aMessage.mSender, request.initSender());
    Encode(aMessage.mTarget, request.initTarget());
    return request.send().then(
      [](auto aResponse) -> peer_reply { return indirect_probe_reply{ aResponse.getReached() }; });
  }
  kj::Promise<peer_reply> operator()(const push_document& aMessage) const
  {
    auto request = mPeer.pushDocumentRequest();
    request.setCredential(mCredential);
    auto document = request.initDocument();
    document.setName(aMessage.mName);
    document.setVersion(aMessage.mVersion);
    document.setValue(aMessage.mValue);
    auto forward = request.initForwardTo(static_cast<unsigned>(aMessage.mForwardTo.size()));
    for (unsigned i = 0; i < forward.size(); ++i) {
      Encode(aMessage.mForwardTo[i], forward[i]);
    }
    return request.send().then(
      [](auto aResponse) -> peer_reply { return DecodeDocument(aResponse.getDocument()); });
  }
  kj::Promise<peer_reply> operator()(const pull_document& aMessage) const
  {
    auto request = mPeer.pullDocumentRequest();
    request.setCredential(mCredential);
    request.setName(aMessage.mName);
    request.setAfterVersion(aMessage.mAfterVersion);
    return request.send().then(
      [](auto aResponse) -> peer_reply { return DecodeDocument(aResponse.getDocument()); });
  }
  kj::Promise<peer_reply> operator()(const claim_message& aMessage) const
  {
    auto request = mPeer.claimRequest();
    request.setCredential(mCredential);
    request.setShard(aMessage.mShard);
    request.setKey(aMessage.mKey);
    request.setEntry(aMessage.mEntry);
    return request.send().then([](auto aResponse) -> peer_reply {
      return claim_reply{ aResponse.getSettled(), aResponse.getEntry() };
    });
  }

  static document_reply DecodeDocument(wire::Document::Reader aIn)
  {
    return { aIn.getName(), aIn.getVersion(), aIn.getValue() };
  }
};

class rpc_links final
  : public peer_links
  , private kj::TaskSet::ErrorHandler
{
public:
  rpc_links(links_settings aSettings,
            kj::AsyncIoContext& aContext,
            counters& aCounters,
            std::function<void(event)> aSink)
    : mSettings{ std::move(aSettings) }
    , mNetwork{ aContext.provider->getNetwork() }
    , mTimer{ aContext.provider->getTimer() }
    , mState{ mSettings,
              mTimer,
              std::move(aSink),
              aCounters.Get("skylarkwind_peer_refused_total",
                            "Calls of other daemons with a wrong credential."),
              aCounters.Get("skylarkwind_peer_received_total", "Calls of other daemons."),
              {},
              0 }
    , mSent{ aCounters.Get("skylarkwind_peer_sent_total", "Calls to other daemons.") }
    , mFailed{ aCounters.Get("skylarkwind_peer_failed_total",
                             "Calls to other daemons without an answer in time.") }
    , mServer{ kj::heap<peer_server>(mState) }
    , mTasks{ *this }
  {
  }

  ~rpc_links() noexcept override {}

  void Listen(kj::WaitScope& aWait)
  {
    auto address = mNetwork.parseAddress(mSettings.mAddress).wait(aWait);
    mListener = address->listen();
    mPort = static_cast<std::uint16_t>(mListener->getPort());
    mTasks.add(Accept());
  }

  void Send(const send_to_peer& aSend) override
  {
    mSent.Add();
    const auto call = aSend.mCall;
    auto answer =
      Connect(aSend.mAddress).then([this, message = aSend.mMessage](const peer_ptr& aPeer) {
        // The connection stays alive until the reply, also when it is dropped from the table.
        return std::visit(send_visitor{ aPeer->mPeer, mSettings.mCredential }, message)
          .attach(std::shared_ptr{ aPeer });
      });
    mTasks.add(mTimer.timeoutAfter(ToKj(aSend.mTimeLimit), kj::mv(answer))
                 .then([this, call](const peer_reply& aReply) {
                   mState.mSink(peer_response_received{ call, aReply });
                 })
                 .catch_([this, call, address = aSend.mAddress](const kj::Exception&) {
                   // A connection on which a call failed may be silent for good, so the next call
                   // opens a new one.
                   mConnections.erase(address);
                   mFailed.Add();
                   mState.mSink(peer_response_received{ call, std::nullopt });
                 }));
  }

  void Answer(const respond_to_peer& aAnswer) override { mState.mPending.Fulfil(aAnswer); }
  std::uint16_t Port() const override { return mPort; }

private:
  kj::Promise<void> Accept()
  {
    return mListener->accept().then([this](kj::Own<kj::AsyncIoStream> aStream) {
      if (mIncoming < mSettings.mMaxConnections) {
        mTasks.add(Serve(kj::mv(aStream)));
      } else {
        mState.mRefused.Add();
      }
      return Accept();
    });
  }

  kj::Promise<void> Serve(kj::Own<kj::AsyncIoStream> aStream)
  {
    ++mIncoming;
    auto network = kj::heap<capnp::TwoPartyVatNetwork>(
      *aStream, capnp::rpc::twoparty::Side::SERVER, ReadLimit(mSettings.mMaxMessageWords));
    auto system = kj::heap(capnp::makeRpcServer(*network, capnp::Capability::Client{ mServer }));
    auto ended = network->onDisconnect();
    // Twice the age after which a client replaces its connection: only abandoned ones reach it.
    auto age = mTimer.afterDelay(ToKj(2 * mSettings.mConnectionAge));
    return ended
      .exclusiveJoin(kj::mv(age))
      // One by one: the RPC system has to end before its network, and that before the stream.
      .attach(kj::mv(system))
      .attach(kj::mv(network))
      .attach(kj::mv(aStream))
      .attach(kj::defer([this] { --mIncoming; }));
  }

  kj::Promise<peer_ptr> Connect(const std::string& aAddress)
  {
    const auto found = mConnections.find(aAddress);
    if (found != mConnections.end() &&
        mTimer.now() - found->second->mOpened < ToKj(mSettings.mConnectionAge)) {
      return found->second;
    }
    auto opened = mNetwork.parseAddress(aAddress).then([](kj::Own<kj::NetworkAddress>&& aTarget) {
      auto promise = aTarget->connect();
      return promise.attach(kj::mv(aTarget));
    });
    return mTimer.timeoutAfter(ToKj(mSettings.mConnectLimit), kj::mv(opened))
      .then([this, aAddress](kj::Own<kj::AsyncIoStream> aStream) {
        auto made =
          std::make_shared<connection>(kj::mv(aStream), mTimer.now(), mSettings.mMaxMessageWords);
        mConnections[aAddress] = made;
        return made;
      });
  }

  void taskFailed(kj::Exception&& aError) override
  {
    Log(log_level::Debug, "links", std::string{ ToAbsl(aError) });
  }

  links_settings mSettings;
  kj::Network& mNetwork;
  kj::Timer& mTimer;
  server_state mState;
  counter& mSent;
  counter& mFailed;
  wire::Peer::Client mServer;
  kj::Own<kj::ConnectionReceiver> mListener;
  std::map<std::string, peer_ptr> mConnections;
  std::uint16_t mPort = 0;
  std::uint32_t mIncoming = 0;
  kj::TaskSet mTasks;
};

} // namespace

absl::StatusOr<std::unique_ptr<peer_links>>
peer_links::Create(links_settings aSettings,
                   kj::AsyncIoContext& aContext,
                   counters& aCounters,
                   std::function<void(event)> aSink)
{
  auto links =
    std::make_unique<rpc_links>(std::move(aSettings), aContext, aCounters, std::move(aSink));
  absl::Status failure;
  KJ_IF_MAYBE (error, kj::runCatchingExceptions([&] { links->Listen(aContext.waitScope); })) {
    failure = absl::UnavailableError(ToAbsl(*error));
  }
  if (!failure.ok()) {
    return failure;
  }
  return links;
}

} // namespace skylarkwind
