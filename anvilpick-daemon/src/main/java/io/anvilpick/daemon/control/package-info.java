/** What a daemon does in the background: following the configuration, gossip, moving claims. */
@NullMarked
package io.anvilpick.daemon.control;

import org.jspecify.annotations.NullMarked;
