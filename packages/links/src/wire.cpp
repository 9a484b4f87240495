#include "wire_p.h"

namespace skylarkwind {

namespace {

wire::MemberUpdate::State
EncodeState(member_state aState)
{
  switch (aState) {
    case member_state::Alive:
      return wire::MemberUpdate::State::ALIVE;
    case member_state::Suspect:
      return wire::MemberUpdate::State::SUSPECT;
    case member_state::Dead:
      return wire::MemberUpdate::State::DEAD;
    case member_state::Left:
      return wire::MemberUpdate::State::LEFT;
  }
  return wire::MemberUpdate::State::SUSPECT;
}

member_state
DecodeState(wire::MemberUpdate::State aState)
{
  switch (aState) {
    case wire::MemberUpdate::State::ALIVE:
      return member_state::Alive;
    case wire::MemberUpdate::State::SUSPECT:
      return member_state::Suspect;
    case wire::MemberUpdate::State::DEAD:
      return member_state::Dead;
    case wire::MemberUpdate::State::LEFT:
      return member_state::Left;
  }
  // A newer daemon may know more states; suspicion is refuted by the member itself.
  return member_state::Suspect;
}

} // namespace

void
Encode(const daemon_location& aLocation, wire::Location::Builder aOut)
{
  aOut.setAddress(aLocation.mAddress);
  aOut.setDataCentre(aLocation.mDataCentre);
  aOut.setRegion(aLocation.mRegion);
}

daemon_location
Decode(wire::Location::Reader aIn)
{
  return { aIn.getAddress(), aIn.getDataCentre(), aIn.getRegion() };
}

void
Encode(const member_update& aUpdate, wire::MemberUpdate::Builder aOut)
{
  aOut.setVm(aUpdate.mProcess.mVm);
  aOut.setStartId(aUpdate.mProcess.mStartId);
  Encode(aUpdate.mLocation, aOut.initLocation());
  aOut.setRefutation(aUpdate.mRefutation);
  aOut.setState(EncodeState(aUpdate.mState));
}

member_update
Decode(wire::MemberUpdate::Reader aIn)
{
  member_update update;
  update.mProcess = { aIn.getVm(), aIn.getStartId() };
  update.mLocation = Decode(aIn.getLocation());
  update.mRefutation = aIn.getRefutation();
  update.mState = DecodeState(aIn.getState());
  return update;
}

} // namespace skylarkwind
