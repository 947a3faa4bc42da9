package io.anvilpick.config;

import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** The rules by which one head may follow another. Pure and thread safe. */
public final class SuccessionRules {
    private SuccessionRules() {}

    /**
     * Returns why {@code next} may not take the place of {@code current}, or empty if it may.
     *
     * <p>A later version is accepted when it is signed by the operator of the contract in force, and its term had not
     * ended when it was accepted; or when it raises the epoch by one and is signed by the operator named as next,
     * after the term's end. A daemon that missed versions in between checks the signature against the contract that the
     * later head itself carries, once the epoch has risen by more than one.
     */
    public static Optional<String> refusalReason(@Nullable Head current, Head next, SignedHead signed) {
        Operator signer = next.contract().operator();
        if (!Signatures.isValid(signer.publicKey(), signed.head(), signed.signature())) {
            return Optional.of("signature does not belong to operator " + signer.name());
        }
        if (!next.acceptedBy().equals(signer.name())) {
            return Optional.of("acceptedBy " + next.acceptedBy() + " is not operator " + signer.name());
        }
        if (current == null) {
            return Optional.empty();
        }
        if (next.version() <= current.version()) {
            return Optional.of("version " + next.version() + " does not exceed version " + current.version());
        }
        return refusalByContract(current.contract(), next);
    }

    private static Optional<String> refusalByContract(Contract current, Head next) {
        Contract contract = next.contract();
        if (contract.epoch() < current.epoch()) {
            return Optional.of("contract epoch " + contract.epoch() + " is older than " + current.epoch());
        }
        if (contract.epoch() == current.epoch()) {
            return refusalWithinTerm(current, next);
        }
        if (contract.epoch() == current.epoch() + 1) {
            return refusalOfHandover(current, next);
        }
        return Optional.empty();
    }

    private static Optional<String> refusalWithinTerm(Contract current, Head next) {
        if (!next.contract().operator().equals(current.operator())) {
            return Optional.of("operator " + next.contract().operator().name() + " does not hold the contract of "
                    + current.operator().name());
        }
        if (current.hasEnded(next.acceptedAtMillis())) {
            return Optional.of("the term " + current.term() + " of operator "
                    + current.operator().name() + " has ended");
        }
        return Optional.empty();
    }

    private static Optional<String> refusalOfHandover(Contract current, Head next) {
        if (!current.next().equals(Optional.of(next.contract().operator()))) {
            return Optional.of("operator " + next.contract().operator().name() + " is not named as next");
        }
        if (!current.hasEnded(next.acceptedAtMillis())) {
            return Optional.of("the term " + current.term() + " has not ended");
        }
        return Optional.empty();
    }
}
