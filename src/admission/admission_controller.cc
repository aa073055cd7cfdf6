// AdmissionController as a thin wrapper around AdmissionCore.

#include "azuregw/admission/admission_controller.h"

#include <utility>

#include "admission/admission_core.h"

namespace azuregw {
namespace {

// Shares the core with its tickets, which may outlive the controller.
class CoreAdmissionController final : public AdmissionController {
 public:
  CoreAdmissionController(const Clock& clock, const AdmissionOptions& options)
      : m_core(std::make_shared<AdmissionCore>(clock, options)) {}
  ~CoreAdmissionController() override { m_core->Shutdown(); }

  void Admit(std::shared_ptr<const Snapshot> snapshot, const AdmissionRequest& request,
             TimePoint now, Callback done) override {
    m_core->Admit(*snapshot, request, now, std::move(done));
  }
  void Tick(TimePoint now) override { m_core->Tick(now); }
  bool TakeRetry(const std::string& target, TimePoint now) override {
    return m_core->TakeRetry(target, now);
  }

 private:
  const std::shared_ptr<AdmissionCore> m_core;
};

}  // namespace

std::unique_ptr<AdmissionController> MakeAdmissionController(const Clock& clock) {
  return MakeAdmissionController(clock, AdmissionOptions());
}

std::unique_ptr<AdmissionController> MakeAdmissionController(const Clock& clock,
                                                             const AdmissionOptions& options) {
  return std::make_unique<CoreAdmissionController>(clock, options);
}

}  // namespace azuregw
