/**
 * Claiming keys at replicas on other daemons, and moving groups of claims between daemons.
 */
@NullMarked
package io.anvilpick.claims.replication;

import org.jspecify.annotations.NullMarked;
