package io.anvilpick.config;

import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** The rules that decide whether one head may replace another. Stateless and thread safe. */
public final class SuccessionRules {
    private SuccessionRules() {}

    /**
     * Returns why {@code next} may not replace {@code current}, or empty if it may.
     *
     * <p>The head must be signed by the operator of its own contract and must name this operator in {@code acceptedBy}.
     * Its version must be higher than the current one. In addition, its contract must satisfy one of these conditions:
     *
     * <ul>
     *   <li>The epoch and the operator are those of the current contract, and the term of that contract had not ended
     *       when the head was accepted.
     *   <li>The epoch is one higher, the operator is the one that the current contract names as next, and the head was
     *       not accepted before the end of the term.
     *   <li>The epoch is higher by more than one. A daemon that missed versions in between sees such a head. The
     *       head's contract is then not compared with the current one, and the signature is checked only against the
     *       contract that the head itself carries.
     * </ul>
     *
     * @param current the head to be replaced, or null if there is none, in which case only the signature and
     *     {@code acceptedBy} are checked
     */
    public static Optional<String> refusalReason(@Nullable Head current, Head next, SignedHead signed) {
        Operator signer = next.contract().operator();
        if (!Signatures.isValid(signer.publicKey(), signed.head(), signed.signature())) {
            return Optional.of("signature does not match the public key of operator " + signer.name());
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
        return contractRefusal(current.contract(), next);
    }

    private static Optional<String> contractRefusal(Contract current, Head next) {
        Contract contract = next.contract();
        if (contract.epoch() < current.epoch()) {
            return Optional.of("contract epoch " + contract.epoch() + " is older than " + current.epoch());
        }
        if (contract.epoch() == current.epoch()) {
            return sameEpochRefusal(current, next);
        }
        if (contract.epoch() == current.epoch() + 1) {
            return handoverRefusal(current, next);
        }
        return Optional.empty();
    }

    private static Optional<String> sameEpochRefusal(Contract current, Head next) {
        if (!next.contract().operator().equals(current.operator())) {
            return Optional.of("operator " + next.contract().operator().name()
                    + " does not hold the contract, which belongs to "
                    + current.operator().name());
        }
        if (current.hasEnded(next.acceptedAtMillis())) {
            return Optional.of("the term " + current.term() + " of operator "
                    + current.operator().name() + " has ended");
        }
        return Optional.empty();
    }

    private static Optional<String> handoverRefusal(Contract current, Head next) {
        if (!current.next().equals(Optional.of(next.contract().operator()))) {
            return Optional.of("operator " + next.contract().operator().name() + " is not named as next");
        }
        if (!current.hasEnded(next.acceptedAtMillis())) {
            return Optional.of("the term " + current.term() + " has not ended");
        }
        return Optional.empty();
    }
}
