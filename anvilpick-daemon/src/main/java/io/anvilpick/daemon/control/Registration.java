package io.anvilpick.daemon.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.anvilpick.membership.Member;
import io.anvilpick.membership.MemberTable;
import io.anvilpick.platform.Entry;
import io.anvilpick.platform.Platform;
import io.anvilpick.platform.PlatformException;
import org.jboss.logging.Logger;

/** Keeps this daemon listed in the platform under a lease, and finds the others there. Used by one thread. */
public final class Registration {
    private static final Logger LOG = Logger.getLogger(Registration.class);
    private static final long LEASE_MILLIS = 30_000;

    private final Platform platform;
    private final MemberTable members;
    private final JsonMapper json = new JsonMapper();
    private long lease;

    /** Creates a registration of the own member of {@code members}. */
    public Registration(Platform platform, MemberTable members) {
        this.platform = platform;
        this.members = members;
    }

    /** Renews the lease, or registers anew where it has lapsed, and takes in who else is listed. */
    public void step() throws PlatformException {
        Member own = members.self().orElseThrow();
        if (lease == 0 || !platform.renewLease(lease)) {
            lease = platform.grantLease(LEASE_MILLIS);
            platform.compareAndSet(prefixOf(own) + own.instance(), Platform.ABSENT, textOf(own), lease);
        }
        for (Entry entry : platform.list(prefixOf(own))) {
            take(entry);
        }
    }

    /** The listed beat is the one at registration, so that a listing never makes a dead member look alive for long. */
    private void take(Entry entry) {
        try {
            members.merge(json.readValue(entry.value(), Member.class));
        } catch (JsonProcessingException e) {
            LOG.warnf("event=member_unreadable key=%s reason=\"%s\"", entry.key(), e.getOriginalMessage());
        }
    }

    private String textOf(Member member) {
        try {
            return json.writeValueAsString(member);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a member cannot be written", e);
        }
    }

    private static String prefixOf(Member member) {
        return "daemons/" + member.region() + "/";
    }
}
